package integration_test

import (
	"context"
	"flag"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/internal/lab/platform"
	"github.com/levertide/levertide/internal/lab/worker"
	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/tests/integration/harness"
)

var (
	togetherSeed  = flag.Uint64("together.seed", 20261202, "seed of TestFaultsTogether")
	togetherSteps = flag.Int("together.steps", 10, "steps of TestFaultsTogether")
)

// faultBound limits how long the faults of one step last.
const faultBound = 4 * time.Second

// callers send non-repeatable requests until their context ends.
type callers struct {
	mutex   sync.Mutex
	answers []harness.Answer
	running sync.WaitGroup
}

func (c *callers) start(ctx context.Context, node *harness.Node) {
	c.running.Go(func() {
		for ctx.Err() == nil {
			answer := harness.Call(ctx, node, harness.Request{Method: http.MethodPost, Path: "/calls"})
			c.mutex.Lock()
			c.answers = append(c.answers, answer)
			c.mutex.Unlock()
		}
	})
}

// check compares each answer with the executions that the workers recorded.
func (c *callers) check(t *testing.T, mesh *harness.Mesh) {
	t.Helper()
	executions := mesh.AllExecutions()
	answered := 0
	for _, answer := range c.answers {
		runs := executions[answer.RequestID]
		switch {
		case runs > 1:
			t.Errorf("%s ran %d times", answer.RequestID, runs)
		case errorx.IsOfType(answer.Err, worker.ErrAnswer):
			t.Errorf("wrong answer: %+v", answer)
		case answer.Err != nil:
			// The caller detected that its answer was incomplete.
		case answer.Outcome == outcome.NotRun && runs != 0:
			t.Errorf("reported as not-run, but ran %d times: %+v", runs, answer)
		case answer.Outcome == outcome.Answered && runs != 1:
			t.Errorf("reported as answered, but ran %d times: %+v", runs, answer)
		case answer.Outcome == outcome.Answered:
			answered++
		}
	}
	t.Logf("%d calls, %d answered", len(c.answers), answered)
	if answered == 0 {
		t.Error("no call was answered")
	}
}

// step is one kind of fault: how it is injected and how it is removed.
type step struct {
	name  string
	begin func(node *harness.Node)
	end   func(node *harness.Node)
}

func steps(mesh *harness.Mesh) []step {
	store := func(faults platform.Faults) func(*harness.Node) {
		return func(*harness.Node) { mesh.Store.SetFaults(faults) }
	}
	healthy := store(platform.Faults{})
	heal := func(node *harness.Node) { mesh.Links.HealAll() }
	return []step{
		{"kill", (*harness.Node).Kill, (*harness.Node).Start},
		{"pause", (*harness.Node).Pause, (*harness.Node).Resume},
		{"cut", func(node *harness.Node) { mesh.CutZone(node.Zone) }, heal},
		{"cut one way", func(node *harness.Node) { mesh.CutOneWay(node.Zone, "a") }, heal},
		{"store down", store(platform.Faults{Outage: platform.OutageClose}), healthy},
		{"lost answers", store(platform.Faults{LoseAnswerShare: 0.5}), healthy},
		{"sessions lapse", func(*harness.Node) { mesh.Store.LapseSessions() }, func(*harness.Node) {}},
		{"workers die", func(*harness.Node) {
			setFaults(mesh, worker.Fault{Kind: worker.DieAfterExecuting, Probability: 0.3})
		}, func(*harness.Node) { clearFaults(mesh) }},
	}
}

func clearFaults(mesh *harness.Mesh) {
	for _, node := range mesh.Nodes("") {
		if node.Worker != nil {
			node.Worker.SetFaults()
		}
	}
}

// TestFaultsTogether injects two faults at a time, applies a set while they last,
// and removes them, while callers send non-repeatable requests.
func TestFaultsTogether(t *testing.T) {
	mesh, _ := running(t, threeZones()...)
	mesh.AwaitVersion(mesh.Operator.Apply(callable(0)), mesh.Nodes("")...)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var calls callers
	for _, name := range []string{"a-gateway", "b-gateway", "c-gateway"} {
		calls.start(ctx, mesh.Node(name))
	}

	random := rand.New(rand.NewPCG(*togetherSeed, *togetherSeed))
	choices, nodes := steps(mesh), mesh.Nodes("")
	for number := range *togetherSteps {
		picked := random.Perm(len(choices))
		first, second := choices[picked[0]], choices[picked[1]]
		places := random.Perm(len(nodes))
		one, other := nodes[places[0]], nodes[places[1]]
		t.Logf("step %d: %s at %s, %s at %s", number, first.name, one.Name, second.name, other.Name)
		first.begin(one)
		second.begin(other)
		apply, _, _ := mesh.Operator.Propose(mesh.Operator.LastCommitted(), callable(number))
		mesh.Operator.AwaitSettledWithin(apply, faultBound)
		first.end(one)
		second.end(other)
		mesh.Operator.AwaitSettled(apply)
		mesh.AwaitReady(nodes...)
	}
	version := mesh.Operator.Apply(callable(*togetherSteps))
	mesh.AwaitVersion(version, nodes...)
	cancel()
	calls.running.Wait()
	calls.check(t, mesh)
}
