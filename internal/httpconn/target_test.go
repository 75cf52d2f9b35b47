package httpconn

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
)

// received returns the request that a server reads for a target.
func received(t *testing.T, target string) *http.Request {
	t.Helper()
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + target + " HTTP/1.1\r\nHost: a.example\r\n\r\n")))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestTargetIsForwardedAsSent guards against targets that reach the worker in another form, which
// then runs another request than was sent.
func TestTargetIsForwardedAsSent(t *testing.T) {
	for target, path := range map[string]string{
		"/":                      "/",
		"/a/b?x=%2F/c//&y":       "/a/b",
		"/a?":                    "/a",
		"/a%41/%7Bb%7D/%2e%2e":   "/a%41/%7Bb%7D/%2e%2e",
		"//a//b/../c/.":          "//a//b/../c/.",
		"/{a}|b^c`\"<>é\\":       "/{a}|b^c`\"<>é\\",
		"/{a}?x={b}":             "/{a}",
		"/a;b=c/!$&'()*+,;=:@-_": "/a;b=c/!$&'()*+,;=:@-_",
		"/a#b":                   "/a#b",
	} {
		r := received(t, target)
		if got := PathAsSent(r); got != path {
			t.Errorf("%s: path %q", target, got)
		}
		if got := ForwardedURL(r, "http", "127.0.0.1:1"); got.RequestURI() != target || got.Host != "127.0.0.1:1" || !Forwardable(r) {
			t.Errorf("%s: forwarded as %q, forwardable %v", target, got.RequestURI(), Forwardable(r))
		}
	}
	if r := received(t, "//{a}"); Forwardable(r) {
		t.Error("//{a} is not kept, and said to be")
	}
	if got := PathAsSent(received(t, "http://a.example/a%2Fb?x")); got != "/a%2Fb" {
		t.Errorf("path of a whole URL: %q", got)
	}
}
