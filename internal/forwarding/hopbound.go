package forwarding

import (
	"io"
	"net/http"
	"time"

	"github.com/levertide/levertide/internal/intake"
)

// expired is a deadline that ends a read or a write in progress.
var expired = time.Unix(1, 0)

// boundHop returns the writer and the request of a call from another node, whose memory is counted.
// The function returned gives it back.
func (p *Plane) boundHop(w http.ResponseWriter, r *http.Request) (http.ResponseWriter, *http.Request, func()) {
	control := http.NewResponseController(w)
	told := false
	account := p.hopBodies.Open(r.Context(), func() {
		// A body that is being read ends as one that was not received. What is still there
		// afterwards is an answer that the other node does not read.
		if told {
			_ = control.SetWriteDeadline(expired)
		}
		told = true
		_ = control.SetReadDeadline(expired)
	})
	hold := account.NewHold()
	r = r.WithContext(intake.NewContext(r.Context(), hold))
	if r.ContentLength != 0 {
		r.Body = &awaitedBody{ReadCloser: r.Body, account: account}
	}
	return &awaitedWriter{ResponseWriter: w, account: account}, r, func() {
		hold.Close()
		account.Close()
	}
}

// awaitedBody is a body whose reads count as waits for the sender.
type awaitedBody struct {
	io.ReadCloser
	account *intake.Account
}

// Read implements io.Reader.
func (b *awaitedBody) Read(p []byte) (int, error) {
	b.account.Await()
	n, err := b.ReadCloser.Read(p)
	b.account.Progress(n)
	return n, err
}

// awaitedWriter is a writer whose writes count as waits for the receiver.
type awaitedWriter struct {
	http.ResponseWriter
	account *intake.Account
}

// Write implements io.Writer.
func (w *awaitedWriter) Write(p []byte) (int, error) {
	w.account.Await()
	n, err := w.ResponseWriter.Write(p)
	w.account.Progress(n)
	return n, err
}

// Unwrap is for http.ResponseController.
func (w *awaitedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
