package httpconn

import (
	"bufio"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/joomcode/errorx"
)

// TestEndOfAnEncryptedConnectionIsNoEndOfAnAnswer guards against a part of an answer that counts as whole
// because its connection was closed without a word of the encryption.
func TestEndOfAnEncryptedConnectionIsNoEndOfAnAnswer(t *testing.T) {
	certified := httptest.NewTLSServer(nil)
	defer certified.Close()
	listener := listenOnLoopback(t)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			encrypted := tls.Server(conn, certified.TLS)
			if _, err := http.ReadRequest(bufio.NewReader(encrypted)); err == nil {
				_, _ = io.WriteString(encrypted, "HTTP/1.1 200 OK\r\n\r\npart")
			}
			_ = conn.Close()
		}
	}()
	config := certified.Client().Transport.(*http.Transport).TLSClientConfig
	transport := &http.Transport{DialTLSContext: Track(Encrypt((&net.Dialer{}).DialContext, config), time.Second)}
	defer transport.CloseIdleConnections()
	client := &http.Client{Timeout: 10 * time.Second, Transport: CheckAnswers(transport, 1)}
	response, err := client.Get("https://" + listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	var typed *errorx.Error
	if !errors.As(err, &typed) || !typed.IsOfType(ErrCut) {
		t.Errorf("%q, %v", body, err)
	}
}
