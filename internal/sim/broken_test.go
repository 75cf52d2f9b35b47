package sim_test

import (
	"testing"

	"github.com/levertide/levertide/internal/sim"
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/snapshot"
	"github.com/levertide/levertide/pkg/store"
)

// brokenVariant breaks one safeguard and names the invariant that must detect it.
type brokenVariant struct {
	name      string
	seams     sim.Seams
	invariant string
}

func brokenVariants() []brokenVariant {
	return []brokenVariant{
		{"compare dropped", sim.Seams{Operations: withoutCompare}, sim.InvariantHead},
		{"fencing dropped", sim.Seams{Participant: newUnfencedParticipant}, sim.InvariantNeverBack},
		{"floor dropped", sim.Seams{NoFloor: true}, sim.InvariantNeverBack},
		{"partial swap", sim.Seams{Activation: activatePartly}, sim.InvariantComplete},
		{"unknown outcome repeated", sim.Seams{RepeatUnknown: true}, sim.InvariantOnce},
		{"not-run said late", sim.Seams{LateNotRun: true}, sim.InvariantNotRun},
	}
}

// withoutCompare drops the index checks of a transaction, so that it overwrites
// whatever the store holds.
func withoutCompare(_ string, operations []store.Operation) []store.Operation {
	var written []store.Operation
	for _, operation := range operations {
		switch operation.Verb {
		case store.VerbCheckIndex:
			continue
		case store.VerbCompareAndSwap:
			operation.Verb, operation.Index = store.VerbSet, 0
		}
		written = append(written, operation)
	}
	return written
}

// unfencedParticipant is a participant without the check of the generation: it
// accepts every head, even one older than the head that it holds.
type unfencedParticipant struct {
	*rollout.Participant
	options rollout.ParticipantOptions
}

func newUnfencedParticipant(options rollout.ParticipantOptions) sim.Participant {
	return &unfencedParticipant{rollout.NewParticipant(options), options}
}

// ObserveHead accepts an older head by starting over as a new participant without
// a floor.
func (f *unfencedParticipant) ObserveHead(head rollout.Head) []rollout.Action {
	state := f.State()
	if state.FloorKnown && head.Generation < state.Head.Generation {
		f.Participant = rollout.NewParticipant(f.options)
		f.LearnFloor(0)
	}
	return f.Participant.ObserveHead(head)
}

// activatePartly puts the new version in force but keeps one service of the old one.
func activatePartly(inForce, next *snapshot.Snapshot) *snapshot.Snapshot {
	if inForce == nil {
		return next
	}
	var mixed []model.Resource
	left := false
	for resource := range next.Resources() {
		old, found := inForce.Resource(resource.Key)
		if found && !left && resource.Key.Kind == model.KindService {
			resource, left = old, true
		}
		mixed = append(mixed, resource)
	}
	built, err := snapshot.New(next.Version(), mixed)
	if err != nil {
		return next
	}
	return built
}

// stepsToCatch returns the step at which the invariant was first broken.
func stepsToCatch(variant brokenVariant, seed, maximumSteps uint64) (uint64, bool) {
	w := sim.New(sim.Options{Seed: seed, Seams: variant.seams})
	defer w.Close()
	for w.Steps() < maximumSteps {
		w.Step()
		for _, violation := range w.Violations() {
			if violation.Invariant == variant.invariant {
				return violation.Step, true
			}
		}
	}
	return 0, false
}

// brokenSeeds is the number of seeds, from 1 on, with each of which every broken
// variant must be caught.
const brokenSeeds = 12

func TestBrokenVariantsAreCaught(t *testing.T) {
	const maximumSteps = 2_000_000
	for _, variant := range brokenVariants() {
		t.Run(variant.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= brokenSeeds; seed++ {
				step, caught := stepsToCatch(variant, seed, maximumSteps)
				if !caught {
					t.Errorf("seed %d: not caught in %d steps", seed, maximumSteps)
				}
				t.Logf("seed %d: caught at step %d", seed, step)
			}
		})
	}
}
