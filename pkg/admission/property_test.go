package admission_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/levertide/levertide/pkg/admission"
)

// call is one request to the gate under test.
type call struct {
	priority admission.Priority
	cancel   context.CancelFunc
	settled  bool
	permit   admission.Permit
	err      error
}

// machine drives a Gate by random steps inside a synctest bubble and models which
// calls wait, in the order of their arrival.
type machine struct {
	gate        *admission.Gate
	slots       int
	queue       int
	maxInFlight int // the number of slots, or a falling number above it after a cut
	waiting     []*call
	running     []*call
	old         []admission.Permit
}

func newMachine(t *rapid.T, fixed bool) *machine {
	slots := rapid.IntRange(1, 4).Draw(t, "slots")
	queue := rapid.IntRange(0, 4).Draw(t, "queue")
	options := admission.Options{Slots: slots, Queue: queue, QueueWait: time.Second, FixedLimit: fixed}
	if queue == 0 {
		options.Queue = admission.NoQueue
	}
	if !fixed {
		options.SlowStart = 3 * time.Second
	}
	return &machine{gate: admission.New(options), slots: slots, queue: queue, maxInFlight: slots}
}

func (m *machine) admit(t *rapid.T) {
	priority := admission.Priority(rapid.IntRange(0, 2).Draw(t, "priority"))
	ctx, cancel := context.WithCancel(context.Background())
	if rapid.Bool().Draw(t, "deadline") {
		wait := time.Duration(rapid.IntRange(0, 1500).Draw(t, "milliseconds")) * time.Millisecond
		ctx, cancel = context.WithTimeout(context.Background(), wait)
	}
	c := &call{priority: priority, cancel: cancel}
	go func() {
		c.permit, c.err = m.gate.Admit(ctx, priority)
		c.settled = true
	}()
	expected := m.displacedBy(priority)
	synctest.Wait()
	for _, waiting := range m.waiting {
		displaced := waiting.settled && admission.ReasonOf(waiting.err) == admission.ReasonDisplaced
		if displaced && waiting != expected {
			t.Fatalf("a call of priority %d displaced one of priority %d", priority, waiting.priority)
		}
	}
	m.waiting = append(m.waiting, c)
}

// displacedBy returns the waiting call that a new call may displace: the newest of
// the lowest priority, if that is lower; nil for none.
func (m *machine) displacedBy(priority admission.Priority) *call {
	var last *call
	for _, c := range m.waiting {
		if c.priority < priority && (last == nil || c.priority <= last.priority) {
			last = c
		}
	}
	return last
}

// collect removes settled calls from waiting and returns those that were admitted.
func (m *machine) collect(t *rapid.T) []*call {
	var admitted []*call
	m.waiting = slices.DeleteFunc(m.waiting, func(c *call) bool {
		if !c.settled {
			return false
		}
		c.cancel()
		if c.err == nil {
			admitted = append(admitted, c)
		} else if !admission.IsShed(c.err) || admission.ReasonOf(c.err) == "" || admission.RetryAfter(c.err) <= 0 {
			t.Fatalf("error %v is no refusal with a reason and a time to retry after", c.err)
		}
		return true
	})
	m.running = append(m.running, admitted...)
	return admitted
}

// next returns the waiting call that is to be served first; nil when none waits.
func (m *machine) next() *call {
	var first *call
	for _, c := range m.waiting {
		if first == nil || c.priority > first.priority {
			first = c
		}
	}
	return first
}

func (m *machine) release(t *rapid.T) {
	if len(m.running) == 0 {
		t.Skip("nothing runs")
	}
	index := rapid.IntRange(0, len(m.running)-1).Draw(t, "running")
	c := m.running[index]
	m.running = slices.Delete(m.running, index, index+1)
	m.old = append(m.old, c.permit)
	expected := m.next()
	c.permit.Release(admission.Result{
		Latency: time.Duration(rapid.IntRange(0, 100).Draw(t, "latency")) * time.Millisecond,
		Refused: rapid.IntRange(0, 9).Draw(t, "refused") == 0,
	})
	synctest.Wait()
	admitted := m.collect(t)
	if expected != nil && len(admitted) == 1 && admitted[0] != expected {
		t.Fatalf("served priority %d before priority %d", admitted[0].priority, expected.priority)
	}
}

func (m *machine) releaseAgain(t *rapid.T) {
	if len(m.old) == 0 {
		t.Skip("nothing released yet")
	}
	before := m.gate.Stats()
	rapid.SampledFrom(m.old).Draw(t, "old").Release(admission.Result{})
	if after := m.gate.Stats(); after != before {
		t.Fatalf("second release changed %+v to %+v", before, after)
	}
}

func (m *machine) cancelOne(t *rapid.T) {
	if len(m.waiting) == 0 {
		t.Skip("nobody waits")
	}
	c := rapid.SampledFrom(m.waiting).Draw(t, "waiting")
	c.cancel()
	synctest.Wait()
	if !c.settled || c.err == nil {
		t.Fatal("a canceled call was not refused")
	}
}

// reconfigure changes the number of slots. The requests in flight may exceed it
// until they have ended.
func (m *machine) reconfigure(t *rapid.T) {
	m.slots = rapid.IntRange(1, 4).Draw(t, "slots")
	m.gate.SetLimits(m.slots, 0)
	synctest.Wait()
	m.collect(t)
	m.maxInFlight = max(m.slots, len(m.running))
}

func (m *machine) advance(t *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(1, 1200).Draw(t, "milliseconds")) * time.Millisecond)
	synctest.Wait()
}

func (m *machine) check(t *rapid.T) {
	m.collect(t)
	stats := m.gate.Stats()
	if stats.InFlight != len(m.running) || stats.Waiting != len(m.waiting) {
		t.Fatalf("gate counts %+v, model has %d running and %d waiting", stats, len(m.running), len(m.waiting))
	}
	m.maxInFlight = max(m.slots, min(m.maxInFlight, stats.InFlight))
	if stats.InFlight > m.maxInFlight || stats.Limit > m.slots || stats.Limit < 1 {
		t.Fatalf("%+v with %d slots", stats, m.slots)
	}
	if stats.Waiting > m.queue {
		t.Fatalf("%d wait in a queue of %d", stats.Waiting, m.queue)
	}
	if stats.Waiting > 0 && stats.InFlight < stats.Limit {
		t.Fatalf("calls wait while slots are free: %+v", stats)
	}
	if load := m.gate.Load(); load < 0 || load > 1 {
		t.Fatalf("load %v", load)
	}
}

func (m *machine) finish(t *rapid.T) {
	m.gate.Drain()
	for len(m.running) > 0 {
		c := m.running[0]
		m.running = m.running[1:]
		c.permit.Release(admission.Result{})
		synctest.Wait()
		m.collect(t)
	}
	if len(m.waiting) > 0 {
		t.Fatalf("%d calls were left in the queue of a drained gate", len(m.waiting))
	}
	if err := m.gate.WaitIdle(context.Background()); err != nil {
		t.Fatal(err)
	}
}

func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"admit":        m.admit,
		"admit more":   m.admit,
		"release":      m.release,
		"releaseAgain": m.releaseAgain,
		"reconfigure":  m.reconfigure,
		"cancel":       m.cancelOne,
		"advance":      m.advance,
		"":             m.check,
	}
}

// withoutDeadline hides Deadline, which must not be called in a synctest bubble.
type withoutDeadline struct{ testing.TB }

func checkGate(t *testing.T, fixed bool) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(withoutDeadline{t}, func(t *rapid.T) {
			m := newMachine(t, fixed)
			if !fixed {
				m.gate.WorkerStarted()
			}
			t.Repeat(m.actions())
			m.finish(t)
		})
	})
}

func TestGateInvariants(t *testing.T)         { checkGate(t, true) }
func TestGateInvariantsAdaptive(t *testing.T) { checkGate(t, false) }
