package worker

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/retry"
)

func (w *Worker) requestHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", w.serveHealth)
	mux.HandleFunc("GET /load", w.serveLoad)
	mux.HandleFunc("/", w.serveRequest)
	return mux
}

func (w *Worker) serveHealth(response http.ResponseWriter, _ *http.Request) {
	healthy, _ := w.gauge.report(time.Now())
	if !healthy {
		response.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (w *Worker) serveLoad(response http.ResponseWriter, _ *http.Request) {
	_, load := w.gauge.report(time.Now())
	writeJSON(response, load)
}

func writeJSON(response http.ResponseWriter, value any) {
	response.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(response).Encode(value)
}

// serveRequest runs a request, or refuses it before it runs.
func (w *Worker) serveRequest(response http.ResponseWriter, request *http.Request) {
	fault := w.faults.next(request.URL.Path)
	if fault.Kind == Shed {
		w.refuse(response, false)
		return
	}
	ctx, cancel := requestContext(request)
	defer cancel()
	switch w.gauge.acquire(ctx) {
	case admissionQueueFull:
		w.refuse(response, false)
	case admissionDraining:
		w.refuse(response, true)
	case admissionAbandoned:
		w.abandon(ctx, response)
	case admissionGranted:
		defer w.gauge.release()
		w.recordStart(request, fault)
		w.execute(ctx, response, request, fault)
	}
}

func (w *Worker) recordStart(request *http.Request, fault Fault) {
	w.records.started(request.Header.Get(RequestIDHeader), w.gauge.busy())
	if fault.Kind != "" {
		w.records.count(func(t *Totals) { t.Faults++ })
	}
}

func (w *Worker) refuse(response http.ResponseWriter, draining bool) {
	w.records.count(func(t *Totals) {
		t.Refused++
		if draining {
			t.RefusedDrain++
		}
	})
	if draining {
		response.Header().Set("Connection", "close")
	}
	response.Header().Set(outcome.Header, string(outcome.NotRun))
	response.WriteHeader(http.StatusServiceUnavailable)
}

// requestContext ends when the caller gives up or its deadline passes.
func requestContext(request *http.Request) (context.Context, context.CancelFunc) {
	remaining, ok := retry.ParseDeadline(request.Header.Get(retry.DeadlineHeader))
	if !ok {
		return context.WithCancel(request.Context())
	}
	return context.WithTimeout(request.Context(), remaining)
}

// execute runs a request that holds a slot.
func (w *Worker) execute(ctx context.Context, response http.ResponseWriter, request *http.Request, fault Fault) {
	digester := NewDigester(request.Header.Get(RequestIDHeader))
	if fault.Kind == DieBeforeFirstByte {
		w.die(fault)
	}
	if _, err := io.Copy(digester, request.Body); err != nil {
		w.records.count(func(t *Totals) { t.Truncated++ })
		panic(http.ErrAbortHandler)
	}
	if fault.Kind == Hang {
		<-ctx.Done()
	}
	if !w.work(ctx) {
		w.abandon(ctx, response)
		return
	}
	if !w.next.call(ctx, request) {
		w.failNext(response)
		return
	}
	w.records.executed(request.Header.Get(RequestIDHeader))
	if fault.Kind == DieAfterExecuting {
		w.die(fault)
	}
	w.answer(response, request, digester.Sum(), fault)
}

func (w *Worker) failNext(response http.ResponseWriter) {
	if w.config.CutOnNextFailure {
		panic(http.ErrAbortHandler)
	}
	response.WriteHeader(http.StatusBadGateway)
}

// work waits for the service time of a request. It returns false when ctx ends first.
func (w *Worker) work(ctx context.Context) bool {
	timer := time.NewTimer(w.serviceTime())
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

func (w *Worker) serviceTime() time.Duration {
	length := w.config.Service.Sample()
	age := time.Since(w.started)
	if age >= w.config.ColdStart {
		return length
	}
	cold := 1 - float64(age)/float64(w.config.ColdStart)
	return time.Duration(float64(length) * (1 + (coldStartFactor-1)*cold))
}

// abandon ends a request whose caller gave up or whose deadline has passed.
func (w *Worker) abandon(ctx context.Context, response http.ResponseWriter) {
	w.records.count(func(t *Totals) { t.Canceled++ })
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		response.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	panic(http.ErrAbortHandler)
}

func (w *Worker) answer(response http.ResponseWriter, request *http.Request, digest Digest, fault Fault) {
	if fault.Kind == ServerError {
		response.WriteHeader(http.StatusInternalServerError)
		return
	}
	size := AnswerSize(request.Header)
	header := response.Header()
	header.Set(DigestHeader, digest.String())
	header.Set(WorkerHeader, w.config.ID)
	header.Set("Content-Type", "application/octet-stream")
	header.Set("Content-Length", strconv.FormatInt(size, 10))
	body := AnswerTo(digest, size)
	if fault.Kind == DieMidAnswer {
		_, _ = io.CopyN(response, body, size/2)
		_ = http.NewResponseController(response).Flush()
		w.die(fault)
	}
	_, _ = io.Copy(response, body)
}

// AnswerSize returns the length of the answer that a request's header asks for.
func AnswerSize(header http.Header) int64 {
	size, err := strconv.ParseInt(header.Get(AnswerSizeHeader), 10, 64)
	if err != nil || size < 0 {
		return DefaultAnswerSize
	}
	return size
}
