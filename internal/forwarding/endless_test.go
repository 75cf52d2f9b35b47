package forwarding

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/levertide/levertide/internal/testendless"
	"github.com/levertide/levertide/internal/testwait"
	"github.com/levertide/levertide/pkg/outcome"
)

// looksWhole reports whether a caller gets a complete success.
func looksWhole(request *http.Request) (whole bool, status int) {
	client := &http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return false, 0
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode < http.StatusMultipleChoices, response.StatusCode
}

// TestAnswerWithoutEndIsCut guards against answers of workers that never end: the caller must have
// an answer by its deadline that does not look whole, the node close the connection and free the
// slot, and other requests go on.
func TestAnswerWithoutEndIsCut(t *testing.T) {
	forms := maps.Clone(testendless.Forms)
	forms["body of a refusal"] = testendless.Refusal("X-Not-Run: 1")
	for name, form := range forms {
		for _, drops := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, drops %t", name, drops), func(t *testing.T) {
				t.Parallel()
				var begun, ended atomic.Int64
				worker := startRawWorker(t, func(r rawRequest) {
					if r.URL.Path == "/read/other" {
						r.respond(http.StatusOK, "", "other")
						return
					}
					begun.Add(1)
					form.Write(r.conn, "X-Id: "+r.id+"\r\n", drops)
					ended.Add(1)
				})
				front, back := nodesBesideRawWorker(t, worker)
				configure(t, []routeSpec{
					{prefix: "/file/", service: "ledger", timeout: 500 * time.Millisecond, attempts: 1},
					{prefix: "/stream/", service: "ledger", safe: true, timeout: 500 * time.Millisecond, attempts: 1},
					{prefix: "/read/", service: "ledger", safe: true, timeout: 5 * time.Second, attempts: 1},
				}, front, back)
				for place, node := range map[string]*testNode{"two nodes": front, "own worker": back} {
					for _, call := range []struct{ method, path string }{{http.MethodPost, "/file/1"}, {http.MethodGet, "/stream/1"}} {
						done := make(chan struct{})
						go func() {
							defer close(done)
							whole, status := looksWhole(callerRequest(t, node, call.method, call.path, nil))
							if whole && !form.Whole() || name == "body of a refusal" && status != http.StatusServiceUnavailable {
								t.Errorf("%s, %s: status %d, whole %t", place, call.path, status, whole)
							}
						}()
						if status, _, body := get(t, node, "/read/other"); status != http.StatusOK || body != "other" {
							t.Errorf("%s: another request: %d %q", place, status, body)
						}
						<-done
					}
				}
				testwait.Eventually(t, "the node closes the connections of the answers", func() bool { return begun.Load() > 0 && ended.Load() == begun.Load() })
				testwait.Eventually(t, "the slots are free", func() bool {
					_, hops := back.plane.InFlight()
					return back.plane.WorkerLoad().Running == 0 && hops == 0
				})
			})
		}
	}
}

// TestBytesBehindAnAnswerDoNotHoldTheNextRequest guards against the first bytes of something that
// never becomes an answer, which come when the next request is on the connection already: that one
// must not wait for it until its deadline.
func TestBytesBehindAnAnswerDoNotHoldTheNextRequest(t *testing.T) {
	worker := startRawWorker(t, func(r rawRequest) {
		if r.number == 1 {
			r.respond(http.StatusOK, "", "whole")
			return
		}
		_, _ = io.WriteString(r.conn, "surplus")
		_, _ = io.Copy(io.Discard, r.conn)
	})
	front, _ := nodesBesideRawWorker(t, worker)
	if status, _, body := post(t, front, "/file/1", "vat"); status != http.StatusOK || body != "whole" {
		t.Fatalf("the first request: %d %q", status, body)
	}
	<-front.reports
	status, _, _ := post(t, front, "/file/1", "vat")
	if report := <-front.reports; status != http.StatusBadGateway || report.Reason != outcome.InvalidAnswer {
		t.Errorf("status %d, %s", status, report.Reason)
	}
}

// TestCutAnswerOfAnEarlierProtocolDoesNotLookWhole guards against an answer that the end of the
// connection marks for a caller of HTTP/1.0, and that is cut.
func TestCutAnswerOfAnEarlierProtocolDoesNotLookWhole(t *testing.T) {
	worker := startRawWorker(t, func(r rawRequest) {
		testendless.Forms["chunks"].Write(r.conn, "X-Id: "+r.id+"\r\n", false)
	})
	front, back := nodesBesideRawWorker(t, worker)
	configure(t, []routeSpec{{prefix: "/read/", service: "ledger", safe: true, timeout: 300 * time.Millisecond, attempts: 1}}, front, back)
	conn, err := net.Dial("tcp", front.caller.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	_, _ = io.WriteString(conn, "GET /read/1 HTTP/1.0\r\nHost: mesh.example\r\nX-Id: id-1\r\n\r\n")
	answer, err := io.ReadAll(conn)
	if err == nil && strings.HasPrefix(string(answer), "HTTP/1.1 200") {
		t.Errorf("%d bytes look whole", len(answer))
	}
}
