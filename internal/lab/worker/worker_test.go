package worker_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/levertide/levertide/internal/lab/worker"
	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/retry"
)

func start(t *testing.T, config worker.Config) *worker.Worker {
	t.Helper()
	w, err := worker.Start(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	return w
}

// post sends one request on a separate connection.
func post(t *testing.T, address, id, body string, header ...string) (*http.Response, error) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/file", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Close = true
	request.Header.Set(worker.RequestIDHeader, id)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		t.Cleanup(func() { _ = response.Body.Close() })
	}
	return response, err
}

func digestOf(id, body string) worker.Digest {
	digester := worker.NewDigester(id)
	_, _ = io.WriteString(digester, body)
	return digester.Sum()
}

func TestAnswerBelongsToItsRequest(t *testing.T) {
	w := start(t, worker.Config{})
	response, err := post(t, w.Address(), "r1", "body", worker.AnswerSizeHeader, "70000")
	if err != nil {
		t.Fatal(err)
	}
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	if err := worker.VerifyAnswer(strings.NewReader(string(content)), digestOf("r1", "body"), 70000); err != nil {
		t.Error(err)
	}
	wrong := []struct {
		name    string
		content string
		digest  worker.Digest
	}{
		{"another request", string(content), digestOf("r2", "body")},
		{"cut short", string(content[:69999]), digestOf("r1", "body")},
		{"too long", string(content) + "x", digestOf("r1", "body")},
	}
	for _, c := range wrong {
		if err := worker.VerifyAnswer(strings.NewReader(c.content), c.digest, 70000); err == nil {
			t.Errorf("%s: accepted as the complete answer", c.name)
		}
	}
}

func TestFullWorkerRefusesBeforeRunning(t *testing.T) {
	w := start(t, worker.Config{Slots: 1})
	w.SetFaults(worker.Fault{Kind: worker.Hang, Count: 1})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.Address()+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	hung := make(chan error, 1)
	go func() {
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
		}
		hung <- err
	}()
	waitFor(t, w, func(totals worker.Totals) bool { return totals.Faults == 1 })
	response, err := post(t, w.Address(), "r1", "")
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get(outcome.Header) != string(outcome.NotRun) {
		t.Errorf("status %d, outcome %q", response.StatusCode, response.Header.Get(outcome.Header))
	}
	cancel()
	if err := <-hung; !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
	waitFor(t, w, func(totals worker.Totals) bool { return totals.Canceled == 1 })
}

// waitFor polls the worker's totals until they meet the condition.
func waitFor(t *testing.T, w *worker.Worker, condition func(worker.Totals) bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); {
		if _, totals := w.Records(); condition(totals) {
			return
		}
	}
	_, totals := w.Records()
	t.Fatalf("totals %+v do not meet the condition after 10 s", totals)
}

func TestFaultsAndRecords(t *testing.T) {
	cases := []struct {
		kind     worker.FaultKind
		cut      bool // the connection breaks
		executed int
	}{
		{worker.DieBeforeFirstByte, true, 0},
		{worker.DieAfterExecuting, true, 1},
		{worker.DieMidAnswer, true, 1},
		{worker.ServerError, false, 1},
	}
	for _, c := range cases {
		w := start(t, worker.Config{})
		w.SetFaults(worker.Fault{Kind: c.kind, PathPrefix: "/file", Count: 1})
		response, err := post(t, w.Address(), "r1", "body")
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		if (err != nil) != c.cut {
			t.Errorf("%s: error %v", c.kind, err)
		}
		records, _ := w.Records()
		if len(records) != 1 || records[0].Started != 1 || records[0].Executed != c.executed {
			t.Errorf("%s: records %+v", c.kind, records)
		}
	}
}

func TestDeadlineIsHonoured(t *testing.T) {
	w := start(t, worker.Config{Service: worker.Distribution{Median: time.Hour}})
	response, err := post(t, w.Address(), "r1", "", retry.DeadlineHeader, "1")
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusGatewayTimeout || response.Header.Get(outcome.Header) != "" {
		t.Errorf("status %d, outcome %q", response.StatusCode, response.Header.Get(outcome.Header))
	}
}

func TestControlOfAnotherProcess(t *testing.T) {
	w := start(t, worker.Config{})
	client := worker.NewClient(w.ControlAddress())
	ctx := context.Background()
	healthy := true
	steps := []error{
		client.SetFaults(ctx, worker.Fault{Kind: worker.ServerError}),
		client.SetReportingFault(ctx, worker.ReportingFault{Healthy: &healthy, Load: &worker.LoadFigures{Slots: 6, Busy: 6}}),
		client.Drain(ctx),
	}
	for _, err := range steps {
		if err != nil {
			t.Fatal(err)
		}
	}
	response, err := http.Get("http://" + w.Address() + "/healthz")
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Errorf("a draining worker with a reporting fault answers status %d, want 200", response.StatusCode)
	}
	if _, err := post(t, w.Address(), "r1", ""); err != nil {
		t.Fatal(err)
	}
	records, totals, err := client.Records(ctx)
	if err != nil || len(records) != 0 || totals.RefusedDrain != 1 {
		t.Errorf("records %v, totals %+v, error %v", records, totals, err)
	}
}

func TestChainPassesHeadersOn(t *testing.T) {
	bottom := start(t, worker.Config{})
	top := start(t, worker.Config{Next: "http://" + bottom.Address(), NextHost: "bottom.lab"})
	response, err := post(t, top.Address(), "r1", "body", retry.DeadlineHeader, "60000")
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusOK {
		t.Errorf("status %d", response.StatusCode)
	}
	if records, _ := bottom.Records(); len(records) != 1 || records[0].Executed != 1 {
		t.Errorf("records of the next service: %+v, want one executed request", records)
	}
	bottom.SetFaults(worker.Fault{Kind: worker.ServerError})
	response, err = post(t, top.Address(), "r2", "body")
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusBadGateway {
		t.Errorf("status %d with a failing next service", response.StatusCode)
	}
}

func TestQueueingWorkerServesInTurn(t *testing.T) {
	w := start(t, worker.Config{Slots: 1, Queue: 20, Service: worker.Distribution{Median: time.Millisecond}})
	answers := make(chan error, 20)
	for i := range 20 {
		go func() {
			response, err := http.Get("http://" + w.Address() + "/" + strconv.Itoa(i))
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			answers <- err
		}()
	}
	for range 20 {
		if err := <-answers; err != nil {
			t.Error(err)
		}
	}
	if _, totals := w.Records(); totals.Executed != 20 || totals.PeakRunning != 1 {
		t.Errorf("totals %+v", totals)
	}
}
