package dataplane

import (
	"net/http"
	"net/url"
	"strings"
	"testing"

	"github.com/levertide/levertide/pkg/outcome"
)

func TestRequestsThatAreRefused(t *testing.T) {
	m := newMesh(t)
	m.addHandler("a", func(http.ResponseWriter, *http.Request) {})
	cases := []struct {
		name   string
		status int
		change func(*http.Request)
	}{
		{"upgrade", http.StatusNotImplemented, func(r *http.Request) {
			r.Header.Set("Connection", "Upgrade")
			r.Header.Set("Upgrade", "websocket")
		}},
		{"dot segment", http.StatusBadRequest, func(r *http.Request) { r.URL.Path = "/a/../b" }},
		{"encoded dot segment", http.StatusBadRequest, func(r *http.Request) { r.URL.RawPath, r.URL.Path = "/a/%2e%2e/b", "/a/../b" }},
		{"encoded slash", http.StatusBadRequest, func(r *http.Request) { r.URL.RawPath, r.URL.Path = "/a%2Fb", "/a/b" }},
		{"empty segment", http.StatusBadRequest, func(r *http.Request) { r.URL.Path = "/a//b" }},
		{"backslash", http.StatusBadRequest, func(r *http.Request) { r.URL.Path = "/a\\b" }},
		{"deadline that is no number", http.StatusBadRequest, func(r *http.Request) { r.Header.Set("Levertide-Deadline-Ms", "soon") }},
		{"two deadlines", http.StatusBadRequest, func(r *http.Request) { r.Header["Levertide-Deadline-Ms"] = []string{"1", "2"} }},
		{"no time left", http.StatusGatewayTimeout, func(r *http.Request) { r.Header.Set("Levertide-Deadline-Ms", "0") }},
		{"other host", http.StatusNotFound, func(r *http.Request) { r.Host = "other.example" }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			request := m.request("GET", "/", nil)
			c.change(request)
			m.do(request).expect(t, c.status, "not-run")
		})
	}
}

func TestNotReadyWithoutASnapshot(t *testing.T) {
	m := newMesh(t)
	m.current.Store(nil)
	m.call("GET", "/", "").expect(t, http.StatusServiceUnavailable, "not-run", outcome.NotReady)
}

func FuzzPlainPath(f *testing.F) {
	for _, target := range []string{"/", "/a/b", "/a%2fb", "/a/%2e%2e/b", "/..;/a", "//a", "/a\\b", "*"} {
		f.Add(target)
	}
	f.Fuzz(func(t *testing.T, target string) {
		parsed, err := url.ParseRequestURI(target)
		if err != nil || !plainPath(parsed.Path, parsed.RawPath) {
			return
		}
		if !strings.HasPrefix(parsed.Path, "/") || strings.Contains(parsed.Path, "//") || strings.ContainsAny(parsed.Path, "\\\x00\r\n") {
			t.Fatalf("accepted %q", parsed.Path)
		}
		if joined := parsed.JoinPath("."); strings.TrimSuffix(joined.Path, "/") != strings.TrimSuffix(parsed.Path, "/") {
			t.Fatalf("%q was accepted, but some programs interpret it as %q", parsed.Path, joined.Path)
		}
	})
}

func FuzzHeaders(f *testing.F) {
	f.Add("Connection", "close, X-Listed", "X-Listed", "1")
	f.Add("Levertide-Deadline-Ms", "10", "Te", "trailers")
	f.Add("Connection", ",,\x00", "Levertide-Attempts-Left", "-1")
	f.Fuzz(func(t *testing.T, name1, value1, name2, value2 string) {
		r := &http.Request{Header: http.Header{}}
		r.Header.Add(name1, value1)
		r.Header.Add(name2, value2)
		out := outgoingHeader(r)
		for name := range out {
			if strings.HasPrefix(name, headerPrefix) || name == connectionName || name == "Upgrade" || name == "Transfer-Encoding" {
				t.Fatalf("%s was forwarded", name)
			}
		}
		if bounds, allowance, err := readBounds(r.Header); err == nil && (bounds.left < 0 || allowance > 10) {
			t.Fatalf("bounds %v, allowance %d", bounds, allowance)
		}
		if seen := readStatusHeaders(r.Header); seen.Load < 0 || seen.Load > 1 {
			t.Fatalf("load %v", seen.Load)
		}
		asksForUpgrade(r.Header)
	})
}
