package calls_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/levertide/levertide/internal/lab/calls"
	"github.com/levertide/levertide/internal/lab/experiment"
	"github.com/levertide/levertide/internal/lab/worker"
	"github.com/levertide/levertide/pkg/outcome"
)

// run makes calls to a handler until it has received three.
func run(t *testing.T, kind experiment.Call, handler http.HandlerFunc) *calls.Caller {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var received atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		defer func() {
			if received.Add(1) >= 3 {
				cancel()
			}
		}()
		handler(response, request)
	}))
	t.Cleanup(server.Close)
	kind.Share = 1
	caller := calls.New(calls.Options{
		Name:    "test",
		Load:    experiment.Load{CallsPerSecond: 1000, Calls: []experiment.Call{kind}},
		Targets: func(experiment.Call) []string { return []string{strings.TrimPrefix(server.URL, "http://")} },
		Passed:  func(string) bool { return true },
	})
	caller.Run(ctx)
	return caller
}

func TestRefusedCallsAreNotRun(t *testing.T) {
	caller := run(t, experiment.Call{Method: "GET", Path: "/"}, func(response http.ResponseWriter, _ *http.Request) {
		response.Header().Set(outcome.Header, string(outcome.NotRun))
		response.WriteHeader(http.StatusServiceUnavailable)
	})
	totals := caller.Totals()
	if totals.NotRun != totals.Calls || totals.Calls == 0 {
		t.Errorf("totals %+v, want all calls not run", totals)
	}
	ran := []worker.Record{{ID: "test-1", Started: 1}}
	if found := caller.Audit(ran); len(found.RanThoughNotRun) != 1 {
		t.Errorf("audit %+v, want one call that ran though it was refused", found)
	}
}

func TestAnswersOfOthersAreWrong(t *testing.T) {
	caller := run(t, experiment.Call{Method: "GET", Path: "/"}, func(response http.ResponseWriter, _ *http.Request) {
		response.Header().Set(worker.DigestHeader, worker.NewDigester("other").Sum().String())
	})
	totals := caller.Totals()
	if totals.Wrong != totals.Calls || len(caller.Details()) == 0 {
		t.Errorf("totals %+v, want all answers wrong", totals)
	}
}

func TestBrokenConnectionsAreUnknown(t *testing.T) {
	caller := run(t, experiment.Call{Method: "POST", Path: "/", Body: 10}, func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	})
	totals := caller.Totals()
	if totals.Unknown != totals.Calls {
		t.Errorf("totals %+v, want all calls unknown", totals)
	}
	twice := []worker.Record{{ID: "test-2", Started: 1}, {ID: "test-2", Started: 1}}
	if diff := cmp.Diff([]string{"test-2"}, caller.Audit(twice).Duplicates); diff != "" {
		t.Errorf("duplicates (-want +got):\n%s", diff)
	}
}

func TestWorkerAnswersAreVerified(t *testing.T) {
	running, err := worker.Start(worker.Config{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	caller := calls.New(calls.Options{
		Name: "test",
		Load: experiment.Load{CallsPerSecond: 1000, Calls: []experiment.Call{{Method: "POST", Path: "/", Body: 70000, Share: 1}}},
		Targets: func(experiment.Call) []string {
			if records, _ := running.Records(); len(records) > 2 {
				cancel()
			}
			return []string{running.Address()}
		},
		Passed: func(string) bool { return true },
	})
	caller.Run(ctx)
	records, _ := running.Records()
	totals := caller.Totals()
	if totals.Wrong != 0 || totals.Answered == 0 {
		t.Errorf("totals %+v, want right answers", totals)
	}
	if found := caller.Audit(records); len(found.Duplicates)+len(found.NeverExecuted)+len(found.RanThoughNotRun) != 0 {
		t.Errorf("audit %+v, want nothing", found)
	}
	bound, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	if err := running.Stop(bound); err != nil {
		t.Error(err)
	}
}
