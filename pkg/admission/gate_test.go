package admission_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/levertide/levertide/pkg/admission"
	"github.com/levertide/levertide/pkg/outcome"
)

func mustAdmit(t *testing.T, gate *admission.Gate) admission.Permit {
	t.Helper()
	permit, err := gate.Admit(context.Background(), admission.PriorityNormal)
	if err != nil {
		t.Fatal(err)
	}
	return permit
}

// admitLater queues a request at a full gate and returns a channel that receives
// its result once it was served.
func admitLater(gate *admission.Gate, priority admission.Priority) <-chan error {
	served := make(chan error, 1)
	go func() {
		permit, err := gate.Admit(context.Background(), priority)
		permit.Release(admission.Result{})
		served <- err
	}()
	synctest.Wait()
	return served
}

func wantShed(t *testing.T, err error, reason admission.Reason) {
	t.Helper()
	if outcome.Of(err) != outcome.NotRun {
		t.Errorf("%v does not say not-run", err)
	}
	if !admission.IsShed(err) || admission.ReasonOf(err) != reason {
		t.Errorf("error %v, want a refusal for %s", err, reason)
	}
}

func TestSlowStartGivesSlotsLittleByLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := admission.New(admission.Options{Slots: 10, SlowStart: 10 * time.Second})
		gate.WorkerStarted()
		for _, want := range []int{2, 4, 6, 8, 10} {
			mustAdmit(t, gate).Release(admission.Result{})
			if got := gate.Stats().Limit; got != want {
				t.Errorf("limit %d, want %d", got, want)
			}
			time.Sleep(2500 * time.Millisecond)
		}
	})
}

// runWindows runs windows of requests that use all slots and end with the given
// result.
func runWindows(t *testing.T, gate *admission.Gate, windows int, result admission.Result) {
	t.Helper()
	for range windows * 20 {
		var permits []admission.Permit
		for range gate.Stats().Limit {
			permits = append(permits, mustAdmit(t, gate))
		}
		_, err := gate.Admit(canceledSoon(t), admission.PriorityLow)
		wantShed(t, err, admission.ReasonDeadline)
		time.Sleep(10 * time.Millisecond)
		for _, permit := range permits {
			permit.Release(result)
		}
	}
}

// canceledSoon returns a context that ends while its request waits in the queue.
func canceledSoon(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	t.Cleanup(cancel)
	return ctx
}

func TestAdaptiveLimit(t *testing.T) {
	steps := []struct {
		name    string
		result  admission.Result
		lowest  int
		highest int
	}{
		{"quick answers keep all slots", admission.Result{Latency: 10 * time.Millisecond}, 8, 8},
		{"slow answers halve them at most", admission.Result{Latency: 40 * time.Millisecond}, 4, 6},
		{"quick answers bring them back", admission.Result{Latency: 10 * time.Millisecond}, 8, 8},
		{"refusals by the worker go to one", admission.Result{Refused: true}, 1, 1},
	}
	synctest.Test(t, func(t *testing.T) {
		gate := admission.New(admission.Options{Slots: 8})
		for _, step := range steps {
			runWindows(t, gate, 12, step.result)
			if got := gate.Stats().Limit; got < step.lowest || got > step.highest {
				t.Errorf("%s: limit %d, want %d to %d", step.name, got, step.lowest, step.highest)
			}
		}
	})
}

// serveAsWorker runs requests at the gate for a time. The worker has trueSlots,
// refuses requests beyond them at once, and refuses every refuseEvery-th request
// for another reason; zero for none.
func serveAsWorker(t *testing.T, gate *admission.Gate, trueSlots, refuseEvery int) {
	t.Helper()
	const callers, service, refusal = 12, 20 * time.Millisecond, time.Millisecond
	var running, count atomic.Int64
	end := time.Now().Add(20 * time.Second)
	var waiting sync.WaitGroup
	for range callers {
		waiting.Go(func() {
			for time.Now().Before(end) {
				permit, err := gate.Admit(context.Background(), admission.PriorityNormal)
				if err != nil {
					time.Sleep(refusal)
					continue
				}
				number := count.Add(1)
				if running.Add(1) > int64(trueSlots) || refuseEvery > 0 && number%int64(refuseEvery) == 0 {
					running.Add(-1)
					time.Sleep(refusal)
					permit.Release(admission.Result{Refused: true})
					continue
				}
				time.Sleep(service)
				running.Add(-1)
				permit.Release(admission.Result{Latency: service})
			}
		})
	}
	waiting.Wait()
}

func TestLimitFindsTheTrueSlots(t *testing.T) {
	cases := []struct {
		name                   string
		trueSlots, refuseEvery int
		lowest, highest        int
	}{
		{"twice as many stated", 4, 0, 2, 5},
		{"a tenth refused for other reasons", 8, 10, 6, 8},
		{"stated truly", 8, 0, 8, 8},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			gate := admission.New(admission.Options{Slots: 8})
			serveAsWorker(t, gate, c.trueSlots, c.refuseEvery)
			if got := gate.Stats().Limit; got < c.lowest || got > c.highest {
				t.Errorf("%s: limit %d, want %d to %d", c.name, got, c.lowest, c.highest)
			}
		})
	}
}

func TestHopelessWaitIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := admission.New(admission.Options{Slots: 1, Queue: 5, QueueWait: time.Minute})
		for range 100 {
			permit := mustAdmit(t, gate)
			permit.Release(admission.Result{Latency: time.Second})
		}
		permit := mustAdmit(t, gate)
		waiting := admitLater(gate, admission.PriorityNormal)
		start := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		_, err := gate.Admit(ctx, admission.PriorityNormal)
		wantShed(t, err, admission.ReasonDeadline)
		if waited := time.Since(start); waited != 0 {
			t.Errorf("waited %v for a slot that could not come in time", waited)
		}
		permit.Release(admission.Result{})
		if err := <-waiting; err != nil {
			t.Error(err)
		}
	})
}

func TestDrainServesTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := admission.New(admission.Options{Slots: 1})
		permit := mustAdmit(t, gate)
		served := admitLater(gate, admission.PriorityLow)
		gate.Drain()
		_, err := gate.Admit(context.Background(), admission.PriorityHigh)
		wantShed(t, err, admission.ReasonDraining)
		if load := gate.Load(); load != 1 {
			t.Errorf("load %v of a draining gate", load)
		}
		if err := gate.WaitIdle(canceledSoon(t)); err == nil {
			t.Error("idle with a request in flight")
		}
		permit.Release(admission.Result{})
		if err := <-served; err != nil {
			t.Errorf("waiting request refused: %v", err)
		}
		if err := gate.WaitIdle(context.Background()); err != nil {
			t.Error(err)
		}
		gate.WorkerStarted()
		_, err = gate.Admit(context.Background(), admission.PriorityHigh)
		wantShed(t, err, admission.ReasonDraining)
		gate.Resume()
		last := mustAdmit(t, gate)
		gate.Drain()
		if err := gate.WaitIdle(canceledSoon(t)); err == nil {
			t.Error("idle with only a request in flight")
		}
		last.Release(admission.Result{})
		if err := gate.WaitIdle(context.Background()); err != nil {
			t.Error(err)
		}
	})
}

func TestReconfigureKeepsWhatIsInFlight(t *testing.T) {
	gate := admission.New(admission.Options{Slots: 3, Queue: admission.NoQueue})
	first, second := mustAdmit(t, gate), mustAdmit(t, gate)
	gate.Reconfigure(admission.Options{Slots: 1, Queue: admission.NoQueue})
	if stats := gate.Stats(); stats.InFlight != 2 || stats.Limit != 1 {
		t.Errorf("%+v after the slots were cut to 1", stats)
	}
	first.Release(admission.Result{})
	_, err := gate.Admit(context.Background(), admission.PriorityNormal)
	wantShed(t, err, admission.ReasonQueueFull)
	second.Release(admission.Result{})
	mustAdmit(t, gate).Release(admission.Result{})
}

func TestLoadRisesWithSlotsAndQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := admission.New(admission.Options{Slots: 2, Queue: 1})
		first := mustAdmit(t, gate)
		second := mustAdmit(t, gate)
		if load := gate.Load(); load != admission.SlotsFullLoad {
			t.Errorf("load %v with all slots taken", load)
		}
		waiting := admitLater(gate, admission.PriorityNormal)
		if load := gate.Load(); load != 1 {
			t.Errorf("load %v with a full queue", load)
		}
		first.Release(admission.Result{})
		second.Release(admission.Result{})
		if err := <-waiting; err != nil {
			t.Errorf("waiting request refused: %v", err)
		}
	})
}

func TestAdmitDoesNotAllocate(t *testing.T) {
	gate := admission.New(admission.Options{})
	allocations := testing.AllocsPerRun(1000, func() {
		mustAdmit(t, gate).Release(admission.Result{Latency: time.Millisecond})
	})
	if allocations != 0 {
		t.Errorf("%v allocations for an admission", allocations)
	}
}
