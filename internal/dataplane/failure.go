package dataplane

import (
	"net/http"
	"strconv"
	"time"

	"github.com/levertide/levertide/pkg/outcome"
)

// failureWriteTimeout bounds the writing of a failure response.
const failureWriteTimeout = 5 * time.Second

// writeFailure answers a request that got no answer from a worker. It returns
// the status.
func writeFailure(w http.ResponseWriter, control *http.ResponseController, err error, closing bool) int {
	header := w.Header()
	status := outcome.SetHeaders(header, err)
	message := outcome.ReasonOf(err).Message() + "\n"
	header["Content-Type"] = []string{"text/plain; charset=utf-8"}
	header["Content-Length"] = []string{strconv.Itoa(len(message))}
	if closing {
		header[connectionName] = []string{closeValue}
	}
	_ = control.SetWriteDeadline(time.Now().Add(failureWriteTimeout))
	w.WriteHeader(status)
	_, _ = w.Write([]byte(message))
	return status
}
