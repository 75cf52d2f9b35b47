package storeprotocol_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/anishathalye/porcupine"
	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/store"
	"github.com/levertide/levertide/pkg/versionstore"
)

const (
	historyClients    = 4
	historyOperations = 25
	// checkBound is far above the time that checking such a history takes.
	checkBound = time.Minute
)

// toxics are the faults on one client's connections to the store; an empty one
// means no fault. Upstream faults affect requests, downstream faults answers.
var toxics = []string{
	"",
	`{"name":"cut-answers","type":"reset_peer","stream":"downstream","toxicity":0.5,"attributes":{"timeout":0}}`,
	`{"name":"cut-requests","type":"reset_peer","stream":"upstream","toxicity":0.5,"attributes":{"timeout":0}}`,
	`{"name":"short-answers","type":"limit_data","stream":"downstream","toxicity":0.5,"attributes":{"bytes":60}}`,
	`{"name":"late-answers","type":"latency","stream":"downstream","toxicity":1,"attributes":{"latency":5,"jitter":5}}`,
}

// recorder collects the operations of all clients.
type recorder struct {
	mutex      sync.Mutex
	start      time.Time
	operations []porcupine.Operation
}

func (r *recorder) record(client int, in input, carryOut func() output) output {
	call := time.Since(r.start)
	out := carryOut()
	finished := time.Since(r.start).Nanoseconds()
	if out.verdict == verdictUnknown {
		finished = math.MaxInt64
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.operations = append(r.operations, porcupine.Operation{
		ClientId: client,
		Input:    in,
		Call:     call.Nanoseconds(),
		Output:   out,
		Return:   finished,
	})
	return out
}

// historyClient performs random operations on the head over unreliable connections.
type historyClient struct {
	number   int
	proxy    *toxiproxy.Proxy
	versions *versionstore.VersionStore
	random   *rand.Rand
	known    headModel
	applies  int
}

func (c *historyClient) run(t *testing.T, history *recorder) {
	for range historyOperations {
		setToxic(t, c.proxy, toxics[c.random.IntN(len(toxics))])
		in := c.nextInput()
		out := history.record(c.number, in, func() output { return c.carryOut(t.Context(), in) })
		if in.action == actionRead && out.verdict == verdictDone {
			c.known = out.head
		}
	}
}

// nextInput chooses the next operation based on the head read last, which may be stale.
func (c *historyClient) nextInput() input {
	chosen := action(c.random.IntN(4))
	switch {
	case chosen == actionPropose:
		c.applies++
		return input{action: chosen, applyID: fmt.Sprintf("apply-%d-%d", c.number, c.applies), version: c.known.committed}
	case chosen != actionRead && c.known.proposed != 0:
		return input{action: chosen, applyID: c.known.applyID, version: c.known.proposed}
	default:
		return input{action: actionRead}
	}
}

func (c *historyClient) carryOut(ctx context.Context, in input) output {
	switch in.action {
	case actionPropose:
		result, err := c.versions.Propose(ctx, request(in.applyID, in.version, in.applyID))
		return output{verdict: verdictOf(err), version: result.Version}
	case actionCommit:
		_, err := c.versions.Commit(ctx, in.version, in.applyID)
		return output{verdict: verdictOf(err)}
	case actionAbort:
		_, err := c.versions.Abort(ctx, in.version, rollout.Rejection{Node: "node", Reason: "refused"})
		return output{verdict: verdictOf(err)}
	default:
		head, _, err := c.versions.ReadHead(ctx, true)
		return output{verdict: verdictOf(err), head: modelOf(head)}
	}
}

func modelOf(head rollout.Head) headModel {
	model := headModel{
		committed: head.Committed,
		proposed:  head.Proposed,
		highest:   head.HighestUsed,
		applyID:   head.ApplyID,
	}
	if head.LastRejected != nil {
		model.rejected = head.LastRejected.Version
	}
	return model
}

func verdictOf(err error) verdict {
	switch {
	case err == nil:
		return verdictDone
	case errorx.IsOfType(err, versionstore.ErrConflict), errorx.IsOfType(err, versionstore.ErrRolloutInProgress):
		return verdictRefused
	case store.NotWritten(err):
		return verdictNoEffect
	default:
		return verdictUnknown
	}
}

// TestHeadIsLinearizable records the requests and results of clients whose
// connections are reset, and checks that some sequential order explains them.
func TestHeadIsLinearizable(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			_, address := startPlatform(t)
			history := &recorder{start: time.Now()}
			var clients sync.WaitGroup
			for number := range historyClients {
				proxy := startProxy(t, address)
				client := &historyClient{
					number:   number,
					proxy:    proxy,
					versions: open(dial(t, proxy.Listen)),
					random:   rand.New(rand.NewPCG(seed, uint64(number))),
				}
				clients.Go(func() { client.run(t, history) })
			}
			clients.Wait()
			checkHistory(t, history.operations)
		})
	}
}

func checkHistory(t *testing.T, operations []porcupine.Operation) {
	t.Helper()
	var count [verdictUnknown + 1]int
	for _, operation := range operations {
		count[operation.Output.(output).verdict]++
	}
	t.Logf("done %d, refused %d, no effect %d, unknown %d", count[verdictDone], count[verdictRefused],
		count[verdictNoEffect], count[verdictUnknown])
	if count[verdictDone] == 0 || count[verdictRefused] == 0 {
		t.Fatal("the history has no completed or no refused operation, so the check proves nothing")
	}
	model := historyModel()
	result, _ := porcupine.CheckOperationsVerbose(model, operations, checkBound)
	if result != porcupine.Ok {
		for _, operation := range operations {
			t.Logf("%d: %d to %d: %s", operation.ClientId, operation.Call, operation.Return,
				model.DescribeOperation(operation.Input, operation.Output))
		}
		t.Fatalf("the history is not linearizable: %v", result)
	}
}

// TestModelRefusesTwoWinners shows that the linearizability check can fail.
func TestModelRefusesTwoWinners(t *testing.T) {
	winner := func(client int, call, finished int64) porcupine.Operation {
		return porcupine.Operation{
			ClientId: client,
			Input:    input{action: actionPropose, applyID: fmt.Sprintf("apply-%d", client)},
			Call:     call,
			Output:   output{version: rollout.Version(client)},
			Return:   finished,
		}
	}
	history := []porcupine.Operation{winner(1, 0, 10), winner(2, 5, 15)}
	if porcupine.CheckOperations(historyModel(), history) {
		t.Error("two proposals that succeeded on the same base were accepted as linearizable")
	}
}
