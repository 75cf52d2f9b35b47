package forwarding

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// TestLongBodyLeavesRoomOnTheLink sends a body of 60 kB over a link of 5 Mbit/s: all but the
// first part takes 89 ms, so that other traffic waits behind one part at most.
func TestLongBodyLeavesRoomOnTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, speed = 60_000, 5e6
		body := &requestBody{held: make([]byte, size), length: size}
		var out http.Request
		body.attach(&out, linkPace(speed))
		began := time.Now()
		if n, err := io.Copy(io.Discard, out.Body); n != size || err != nil {
			t.Fatalf("%d bytes, error %v", n, err)
		}
		want := time.Duration((size - pacedPart) * 8 / speed * float64(time.Second))
		if took := time.Since(began); took < want || took > want+20*time.Millisecond {
			t.Errorf("the body took %v, want %v", took, want)
		}
	})
}

// TestUnknownLinkIsNotPaced checks that there is no limit when the link speed is not known.
func TestUnknownLinkIsNotPaced(t *testing.T) {
	if linkPace(0) != nil {
		t.Error("a pace without a link")
	}
}
