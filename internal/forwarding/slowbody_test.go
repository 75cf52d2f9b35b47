package forwarding

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"
)

// pausedBody is a body whose sender pauses before the second half.
type pausedBody struct {
	rest  io.Reader
	half  int
	pause time.Duration
}

func (b *pausedBody) Read(p []byte) (int, error) {
	if b.half == 0 {
		time.Sleep(b.pause)
		b.half = -1
	}
	if b.half > 0 {
		p = p[:min(len(p), b.half)]
	}
	n, err := b.rest.Read(p)
	if b.half > 0 {
		b.half -= n
	}
	return n, err
}

// TestUploadThatArrivesSlowlyIsServed has a caller that takes longer to send its body than the target
// of the route, and well within its timeouts: it has waited for nobody.
func TestUploadThatArrivesSlowlyIsServed(t *testing.T) {
	front, _, worker := twoNodes(t)
	const size = 200_000
	body := &pausedBody{rest: bytes.NewReader(make([]byte, size)), half: size / 2, pause: 3 * time.Second}
	request := callerRequest(t, front, http.MethodPost, "/file/1", body)
	request.ContentLength = size
	request.Header.Set(testDialect.Timeout, "20000")
	if status, header, _ := ask(t, request); status != http.StatusOK {
		t.Errorf("status %d, headers %v", status, header)
	}
	if calls := worker.calls.Load(); calls != 1 {
		t.Errorf("the worker had %d calls", calls)
	}
}
