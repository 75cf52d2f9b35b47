package versionstore_test

import (
	"fmt"
	"testing"

	"github.com/joomcode/errorx"
	"pgregory.net/rapid"

	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/store"
	"github.com/levertide/levertide/pkg/store/memory"
	"github.com/levertide/levertide/pkg/versionstore"
)

// disturbance is a fault of one request, or a concurrent event just before it.
type disturbance uint8

const (
	undisturbed disturbance = iota
	refuse
	loseRequest
	loseAnswer
	holdBack
	deliverHeldFirst
	rivalFirst
	rivalCommitsFirst
	rivalAbortsFirst
	sweepFirst
	disturbances
)

// machine compares a version store, the client, with a simple model of the head,
// while a second version store, the rival, writes concurrently.
type machine struct {
	backend *memory.Store
	client  *versionstore.VersionStore
	rival   *versionstore.VersionStore

	plan    []disturbance
	applies int
	// rivalAccepted is the version assigned to a proposal of the rival during
	// the current action.
	rivalAccepted rollout.Version
	rivalApplyID  string
	// rivalDecided is the phase into which the rival brought the proposed version
	// during the current action.
	rivalDecided versionstore.ApplyPhase
	deciding     bool

	head     rollout.Head
	contents map[rollout.Version]string
	phases   map[string]versionstore.ApplyPhase
	versions map[string]rollout.Version
}

func newMachine() *machine {
	m := &machine{
		contents: make(map[rollout.Version]string),
		phases:   make(map[string]versionstore.ApplyPhase),
		versions: make(map[string]rollout.Version),
	}
	m.backend = memory.New(memory.Options{Intercept: m.intercept})
	m.client = versionstore.New(versionstore.Config{
		Store: m.backend, Rate: unlimited, MinimumPause: 1, MaximumPause: 1, Retain: 3, SweepSlack: 1,
	})
	m.rival = versionstore.New(versionstore.Config{
		Store: m.backend, Rate: unlimited, MinimumPause: 1, MaximumPause: 1, Retain: 3, SweepSlack: 1,
	})
	return m
}

func (m *machine) intercept(memory.Request) memory.Fault {
	if len(m.plan) == 0 {
		return memory.FaultNone
	}
	next := m.plan[0]
	rest := m.plan[1:]
	m.plan = nil // requests made by a disturbance are not disturbed
	defer func() { m.plan = rest }()
	switch next {
	case refuse:
		return memory.FaultRefuse
	case loseRequest:
		return memory.FaultLoseRequest
	case loseAnswer:
		return memory.FaultLoseAnswer
	case holdBack:
		return memory.FaultHoldBack
	case deliverHeldFirst:
		m.backend.DeliverHeld()
	case rivalFirst:
		m.rivalProposes()
	case rivalCommitsFirst, rivalAbortsFirst:
		m.rivalDecides(next)
	case sweepFirst:
		_, _ = m.rival.Sweep(background) // refused while a version is proposed
	}
	return memory.FaultNone
}

func (m *machine) nextApply() string {
	m.applies++
	return fmt.Sprintf("apply-%d", m.applies)
}

func (m *machine) rivalProposes() {
	if m.rivalAccepted != 0 {
		return
	}
	head, _, err := m.rival.ReadHead(background, true)
	if err != nil {
		return
	}
	applyID := m.nextApply()
	result, err := m.rival.Propose(background, request(applyID, head.Committed, "rival"))
	if err == nil {
		m.rivalAccepted, m.rivalApplyID = result.Version, applyID
	}
}

// rivalDecides commits or aborts the version that the client is committing or aborting.
func (m *machine) rivalDecides(decision disturbance) {
	if !m.deciding {
		return
	}
	phase := versionstore.ApplyCommitted
	var err error
	if decision == rivalCommitsFirst {
		_, err = m.rival.Commit(background, m.head.Proposed, m.head.ApplyID)
	} else {
		phase = versionstore.ApplyAborted
		_, err = m.rival.Abort(background, m.head.Proposed, rollout.Rejection{})
	}
	if err == nil {
		m.rivalDecided = phase
	}
}

// disturb draws the disturbances of the requests of the next action.
func (m *machine) disturb(t *rapid.T) {
	m.rivalAccepted, m.rivalDecided = 0, versionstore.ApplyNotWritten
	for _, drawn := range rapid.SliceOfN(rapid.Uint8Range(0, uint8(disturbances)-1), 0, 10).Draw(t, "disturbances") {
		m.plan = append(m.plan, disturbance(drawn))
	}
}

// applyRivalProposal adds a proposal that the rival made during the action to the model.
func (m *machine) applyRivalProposal(t *rapid.T) {
	m.plan = nil
	if m.rivalAccepted != 0 {
		m.accept(t, m.rivalApplyID, m.rivalAccepted, "rival")
	}
}

func (m *machine) accept(t *rapid.T, applyID string, version rollout.Version, content string) {
	if m.head.Proposed != 0 || version != m.head.HighestUsed+1 {
		t.Fatalf("%s was given version %d on top of %+v", applyID, version, m.head)
	}
	m.head.Generation++
	m.head.HighestUsed, m.head.Proposed, m.head.ApplyID = version, version, applyID
	m.contents[version] = content
	m.phases[applyID], m.versions[applyID] = versionstore.ApplyProposed, version
}

func (m *machine) propose(t *rapid.T) {
	applyID := m.nextApply()
	base := m.head.Committed
	if base > 0 && rapid.Bool().Draw(t, "stale") {
		base--
	}
	content := rapid.SampledFrom([]string{"ledger", "archive", "listings"}).Draw(t, "content")
	m.disturb(t)
	result, err := m.client.Propose(background, request(applyID, base, content))
	m.applyRivalProposal(t)
	switch {
	case err == nil && base != m.head.Committed:
		t.Fatalf("a proposal based on %d was accepted over %d", base, m.head.Committed)
	case err == nil:
		m.accept(t, applyID, result.Version, content)
	case store.NotWritten(err):
	case base != m.head.Committed:
		requireTypeInRapid(t, err, versionstore.ErrConflict)
	case m.head.Proposed != 0:
		requireTypeInRapid(t, err, versionstore.ErrRolloutInProgress)
	default:
		t.Fatalf("a proposal on top of %+v gave %v", m.head, err)
	}
}

func (m *machine) commit(t *rapid.T) {
	m.decide(t, versionstore.ApplyCommitted, func() error {
		_, err := m.client.Commit(background, m.head.Proposed, m.head.ApplyID)
		return err
	})
}

func (m *machine) abort(t *rapid.T) {
	m.decide(t, versionstore.ApplyAborted, func() error {
		_, err := m.client.Abort(background, m.head.Proposed, rollout.Rejection{Node: "node", Reason: "refused"})
		return err
	})
}

// decide commits or aborts while the rival may do either. Both may succeed only
// if they make the same decision.
func (m *machine) decide(t *rapid.T, phase versionstore.ApplyPhase, carryOut func() error) {
	if m.head.Proposed == 0 {
		return
	}
	m.disturb(t)
	m.deciding = true
	err := carryOut()
	m.deciding, m.plan = false, nil
	switch {
	case err == nil && m.rivalDecided != versionstore.ApplyNotWritten && m.rivalDecided != phase:
		t.Fatalf("version %d was both %v and %v", m.head.Proposed, m.rivalDecided, phase)
	case err == nil:
		m.decided(phase)
	case m.rivalDecided != versionstore.ApplyNotWritten:
		m.decided(m.rivalDecided)
	case errorx.IsOfType(err, versionstore.ErrUnknownOutcome):
		m.decided(m.readBack(t))
	case !store.NotWritten(err):
		t.Fatalf("%v on top of %+v gave %v", phase, m.head, err)
	}
	m.applyRivalProposal(t)
}

// readBack resolves whether the version was committed or aborted after an unknown outcome.
func (m *machine) readBack(t *rapid.T) versionstore.ApplyPhase {
	state, err := m.client.Resolve(background, m.head.ApplyID)
	if err != nil || state.Phase == versionstore.ApplyNotWritten || state.Phase == versionstore.ApplyProposed {
		t.Fatalf("after an unknown outcome %s resolves to %v, %v", m.head.ApplyID, state.Phase, err)
	}
	return state.Phase
}

func (m *machine) decided(phase versionstore.ApplyPhase) {
	m.head.Generation++
	if phase == versionstore.ApplyCommitted {
		m.head.Committed = m.head.Proposed
	}
	m.head.Proposed = 0
	m.phases[m.head.ApplyID] = phase
}

func (m *machine) resolve(t *rapid.T) {
	if m.applies == 0 {
		return
	}
	applyID := fmt.Sprintf("apply-%d", rapid.IntRange(1, m.applies).Draw(t, "apply"))
	state, err := m.client.Resolve(background, applyID)
	if err != nil {
		t.Fatal(err)
	}
	swept := state.Phase == versionstore.ApplyNotWritten && m.versions[applyID] < state.Oldest
	if state.Phase != m.phases[applyID] && !swept {
		t.Fatalf("%s resolves to %v, but it is %v", applyID, state.Phase, m.phases[applyID])
	}
}

// check compares the store with the model, and checks that the committed and the
// proposed version can be loaded completely.
func (m *machine) check(t *rapid.T) {
	head, _, err := m.client.ReadHead(background, true)
	if err != nil {
		t.Fatal(err)
	}
	if head.Generation != m.head.Generation || head.Committed != m.head.Committed || head.Proposed != m.head.Proposed {
		t.Fatalf("the head is %+v, the model %+v", head, m.head)
	}
	for _, version := range []rollout.Version{head.Committed, head.Proposed} {
		if version == 0 {
			continue
		}
		loaded, err := m.client.LoadSnapshot(background, version, nil)
		if err != nil {
			t.Fatalf("version %d: %v", version, err)
		}
		if _, found := loaded.Service(m.contents[version]); !found {
			t.Fatalf("version %d is not %s", version, m.contents[version])
		}
	}
}

func requireTypeInRapid(t *rapid.T, err error, want *errorx.Type) {
	if !errorx.IsOfType(err, want) {
		t.Fatalf("got error %v, want %s", err, want.FullName())
	}
}

func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"propose": m.propose,
			"commit":  m.commit,
			"abort":   m.abort,
			"resolve": m.resolve,
			"deliver": func(*rapid.T) { m.backend.DeliverHeld() },
			"sweep":   func(*rapid.T) { _, _ = m.client.Sweep(background) },
			"":        m.check,
		})
	})
}
