package httpconn

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/levertide/levertide/internal/testendless"
	"github.com/levertide/levertide/internal/testwait"
)

// TestAnswerWithoutEndFillsNoMemory guards against answers of the store or of another node that
// never end.
func TestAnswerWithoutEndFillsNoMemory(t *testing.T) {
	const limit = 1 << 20
	for name, form := range testendless.Forms {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := testendless.New(form, false)
			transport := &http.Transport{DialContext: server.Dial, MaxResponseHeaderBytes: MaximumAnswerHead}
			client := &http.Client{Transport: LimitAnswers(transport, limit)}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://store", nil)
			if err != nil {
				t.Fatal(err)
			}
			response, err := client.Do(r)
			if err == nil {
				_, err = io.ReadAll(response.Body)
				_ = response.Body.Close()
			}
			if (err == nil) != form.Whole() {
				t.Errorf("error %v", err)
			}
			testwait.Eventually(t, "the connection is closed", func() bool { return server.Answered.Load() == 1 && server.Open.Load() == 0 })
			if written := server.Written.Load(); written > testendless.MostRead(name, MaximumAnswerHead, limit) {
				t.Errorf("%d bytes were read", written)
			}
			if ctx.Err() != nil {
				t.Error("the answer was read until the deadline")
			}
		})
	}
}
