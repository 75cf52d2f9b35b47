package worker

import (
	"encoding/json"
	"net/http"
)

// Paths of the control listener.
const (
	pathRecords        = "/records"
	pathFaults         = "/faults"
	pathReportingFault = "/misreport"
	pathDrain          = "/drain"
)

// recordsAnswer is the answer of the control listener to GET /records.
type recordsAnswer struct {
	Records []Record `json:"records"`
	Totals  Totals   `json:"totals"`
}

func (w *Worker) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathRecords, func(response http.ResponseWriter, _ *http.Request) {
		records, totals := w.Records()
		writeJSON(response, recordsAnswer{Records: records, Totals: totals})
	})
	mux.HandleFunc("DELETE "+pathRecords, func(http.ResponseWriter, *http.Request) {
		w.ResetRecords()
	})
	mux.HandleFunc("PUT "+pathFaults, decodeBody(func(faults []Fault) { w.SetFaults(faults...) }))
	mux.HandleFunc("PUT "+pathReportingFault, decodeBody(w.SetReportingFault))
	mux.HandleFunc("POST "+pathDrain, func(http.ResponseWriter, *http.Request) { w.Drain() })
	return mux
}

// decodeBody returns a handler that decodes the JSON body of a request and passes it to use.
func decodeBody[T any](use func(T)) http.HandlerFunc {
	return func(response http.ResponseWriter, request *http.Request) {
		var value T
		if err := json.NewDecoder(request.Body).Decode(&value); err != nil {
			http.Error(response, err.Error(), http.StatusBadRequest)
			return
		}
		use(value)
	}
}
