package pipeline

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkServers compares this server with that of net/http on the same requests,
// one after the other and four at a time; the ratios within one run are what counts.
func BenchmarkServers(b *testing.B) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	plain := &http.Server{Handler: handler}
	go func() { _ = plain.Serve(l) }()
	b.Cleanup(func() { _ = plain.Close() })
	own := startTestServer(b, func(cfg *Config) { cfg.Handler = handler })
	for _, target := range []struct{ name, address string }{{"net-http", l.Addr().String()}, {"pipeline", own.address}} {
		for _, depth := range []struct {
			name  string
			count int
		}{{"alone", 1}, {"four", 4}} {
			b.Run(target.name+"/"+depth.name, func(b *testing.B) {
				c := dial(b, target.address)
				text := strings.Repeat(get("/1"), depth.count)
				b.ReportAllocs()
				for range b.N {
					c.send(b, text)
					for range depth.count {
						if _, err := c.next(); err != nil {
							b.Fatal(err)
						}
					}
				}
			})
		}
	}
}
