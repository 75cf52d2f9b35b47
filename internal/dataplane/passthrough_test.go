package dataplane

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"testing"

	"github.com/levertide/levertide/pkg/model"
)

func TestRequestAndAnswerPassUnchanged(t *testing.T) {
	m := newMesh(t)
	m.addHandler("a", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Target", r.Host+" "+r.Method+" "+r.RequestURI)
		w.Header()["X-Many"] = []string{"1", "2"}
		w.Header()["Content-Type"] = nil
		w.WriteHeader(http.StatusCreated)
		_, _ = w.Write(body)
	})
	request := m.request("POST", "/a%41/b?x=%2F&y", strings.NewReader("scan"))
	got := m.do(request)
	got.expect(t, http.StatusCreated, "")
	if want := testHost + " POST /a%41/b?x=%2F&y"; got.header.Get("X-Target") != want {
		t.Errorf("target %q, want %q", got.header.Get("X-Target"), want)
	}
	if got.body != "scan" || len(got.header["X-Many"]) != 2 || got.header.Get("Content-Type") != "" {
		t.Errorf("answer changed: %q %v", got.body, got.header)
	}
	for name := range got.header {
		if strings.HasPrefix(name, headerPrefix) {
			t.Errorf("%s reached the caller", name)
		}
	}
}

func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	m := newMesh(t)
	seen := make(chan http.Header, 1)
	m.addHandler("a", func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header
		w.Header().Set("Connection", "X-Private")
		w.Header().Set("X-Private", "1")
		w.Header().Set("Keep-Alive", "timeout=9")
		w.Header().Set("Levertide-Outcome", "unknown")
		w.Header().Set("Levertide-Load", "1")
	})
	got := m.call("GET", "/", "", "Connection", "X-Listed, keep-alive", "X-Listed", "1", "Proxy-Authorization", "1",
		"Levertide-Route", "never", "Levertide-Load", "7", "X-Kept", "1")
	got.expect(t, http.StatusOK, "")
	header := <-seen
	for _, name := range []string{"X-Listed", "Proxy-Authorization", "Levertide-Route", "Levertide-Load", "Keep-Alive", "Connection"} {
		if header.Get(name) != "" {
			t.Errorf("%s reached the worker", name)
		}
	}
	if header.Get("X-Kept") != "1" || header.Get("Via") != viaEntry {
		t.Errorf("headers lost: %v", header)
	}
	for _, name := range []string{"X-Private", "Keep-Alive", "Levertide-Load"} {
		if got.header.Get(name) != "" {
			t.Errorf("%s reached the caller", name)
		}
	}
}

func TestCredentialIsSetByTheWorkersNode(t *testing.T) {
	m := newMesh(t)
	route := testRoute("/", model.RepeatSafeMethods)
	route.Credential = &model.Credential{Secret: "key", Header: "x-api-key"}
	m.publish(2, map[string]*model.Route{"default": route})
	seen := make(chan []string, 1)
	m.addHandler("a", func(_ http.ResponseWriter, r *http.Request) { seen <- r.Header["X-Api-Key"] })
	request := m.request("GET", "/", nil)
	request.Header["X-Api-Key"] = []string{"forged", "twice"}
	m.do(request).expect(t, http.StatusOK, "")
	if got := <-seen; len(got) != 1 || got[0] != "s3cret" {
		t.Errorf("the worker got %q", got)
	}
}

func TestTrailersPassBothWays(t *testing.T) {
	m := newMesh(t)
	m.addHandler("a", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Trailer", "X-Sum")
		_, _ = io.Copy(w, r.Body)
		w.Header().Set("X-Sum", r.Trailer.Get("X-Digest"))
		w.Header().Set(http.TrailerPrefix+"X-Late", "2")
	})
	request := m.request("POST", "/", io.MultiReader(strings.NewReader("part one, "), strings.NewReader("part two")))
	request.Trailer = http.Header{"X-Digest": {"abc"}}
	got := m.do(request)
	got.expect(t, http.StatusOK, "")
	if got.body != "part one, part two" || got.trailer.Get("X-Sum") != "abc" || got.trailer.Get("X-Late") != "2" {
		t.Errorf("body %q trailer %v", got.body, got.trailer)
	}
}

func TestHeadKeepsTheLength(t *testing.T) {
	m := newMesh(t)
	m.addHandler("a", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", "1234") })
	got := m.call("HEAD", "/", "")
	got.expect(t, http.StatusOK, "")
	if got.header.Get("Content-Length") != "1234" || got.body != "" {
		t.Errorf("HEAD answered %v", got.header)
	}
}

func TestEmptyPostKeepsItsLength(t *testing.T) {
	m := newMesh(t)
	m.addHandler("a", func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprint(w, r.ContentLength, r.TransferEncoding, r.Header.Get("Idempotency-Key"), r.Header["Content-Length"])
	})
	got := m.call("POST", "/never", "", "Idempotency-Key", "k1")
	got.expect(t, http.StatusOK, "")
	if got.body != "0 []k1[0]" && got.body != "0 [] k1 [0]" {
		t.Errorf("the worker saw %q", got.body)
	}
}

func TestInterimAnswersPass(t *testing.T) {
	m := newMesh(t)
	m.addHandler("a", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Link", "</style.css>")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del("Link")
		_, _ = io.WriteString(w, "page")
	})
	hints := make(chan string, 1)
	trace := &httptrace.ClientTrace{Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
		hints <- header.Get("Link")
		return nil
	}}
	request := m.request("GET", "/", nil)
	got := m.do(request.WithContext(httptrace.WithClientTrace(context.Background(), trace)))
	got.expect(t, http.StatusOK, "")
	if hint := <-hints; hint != "</style.css>" || got.body != "page" || got.header.Get("Link") != "" {
		t.Errorf("hint %q body %q header %v", hint, got.body, got.header)
	}
}

func TestExpectContinueReachesTheWorker(t *testing.T) {
	m := newMesh(t)
	m.addHandler("a", func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Expect") == "" {
			w.WriteHeader(http.StatusTeapot)
			return
		}
		w.WriteHeader(http.StatusForbidden) // without reading the body
	})
	const size = 1 << 20
	m.call("PUT", "/", strings.Repeat("x", size), "Expect", "100-continue").expect(t, http.StatusForbidden, "")
}

func TestAnswersStreamAsTheyCome(t *testing.T) {
	m := newMesh(t)
	resume := make(chan struct{})
	m.addHandler("a", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "first\n")
		_ = http.NewResponseController(w).Flush()
		<-resume
		_, _ = io.WriteString(w, "second\n")
	})
	response, err := m.client().Do(m.request("GET", "/", nil))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewReader(response.Body)
	if line, err := lines.ReadString('\n'); line != "first\n" {
		t.Fatalf("first part %q: %v", line, err)
	}
	close(resume)
	if line, err := lines.ReadString('\n'); line != "second\n" {
		t.Fatalf("second part %q: %v", line, err)
	}
}

func TestUploadsStreamWhileTheAnswerRuns(t *testing.T) {
	m := newMesh(t)
	m.addHandler("a", func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		_ = control.EnableFullDuplex()
		lines := bufio.NewReader(r.Body)
		for {
			line, err := lines.ReadString('\n')
			if err != nil {
				return
			}
			_, _ = io.WriteString(w, "echo "+line)
			_ = control.Flush()
		}
	})
	reader, writer := io.Pipe()
	request := m.request("POST", "/", reader)
	go func() { _, _ = io.WriteString(writer, "one\n") }()
	response, err := m.client().Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewReader(response.Body)
	for _, next := range []string{"two\n", "three\n", ""} {
		if line, err := lines.ReadString('\n'); !strings.HasPrefix(line, "echo ") {
			t.Fatalf("got %q: %v", line, err)
		}
		if next == "" {
			_ = writer.Close()
			continue
		}
		if _, err := io.WriteString(writer, next); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := lines.ReadString('\n'); err != io.EOF {
		t.Errorf("the answer ended with %v", err)
	}
}

func TestOwnWorkerIsCalledDirectly(t *testing.T) {
	m := newMesh(t)
	node := m.addHandler("a", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "here") })
	m.entry = node
	got := m.call("GET", "/", "")
	got.expect(t, http.StatusOK, "")
	if got.body != "here" || node.plane.Status().Worker.Counts.Admitted != 1 {
		t.Errorf("body %q status %+v", got.body, node.plane.Status())
	}
}
