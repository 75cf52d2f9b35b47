package versionstore_test

import (
	"testing"

	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/store/memory"
)

// TestRequestsOfEachStep checks the number of store requests that docs/STORE.md
// gives for each step.
func TestRequestsOfEachStep(t *testing.T) {
	versions := open(memory.New(memory.Options{}))
	publish(t, versions, "apply-1", names(20)...)
	base, err := versions.LoadSnapshot(t.Context(), 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	steps := []struct {
		name     string
		requests uint64
		run      func() error
	}{
		{"propose", 4, func() error {
			_, err := versions.Propose(t.Context(), request("apply-2", 1, names(21)...))
			return err
		}},
		{"load over the base", 2, func() error {
			_, err := versions.LoadSnapshot(t.Context(), 2, base)
			return err
		}},
		{"commit", 2, func() error {
			_, err := versions.Commit(t.Context(), 2, "apply-2")
			return err
		}},
		{"sweep with nothing to remove", 2, func() error {
			_, err := versions.Sweep(t.Context())
			return err
		}},
		{"resolve the last apply", 1, func() error {
			_, err := versions.Resolve(t.Context(), "apply-2")
			return err
		}},
		{"resolve an earlier apply", 3, func() error {
			_, err := versions.Resolve(t.Context(), "apply-1")
			return err
		}},
		{"list versions", 2, func() error {
			_, err := versions.ListVersions(t.Context(), 10)
			return err
		}},
		{"propose again", 4, func() error {
			_, err := versions.Propose(t.Context(), request("apply-3", 2, names(22)...))
			return err
		}},
		{"abort", 3, func() error {
			_, err := versions.Abort(t.Context(), 3, rollout.Rejection{})
			return err
		}},
	}
	for _, step := range steps {
		before := versions.Requests()
		if err := step.run(); err != nil {
			t.Fatalf("%s: %v", step.name, err)
		}
		if sent := versions.Requests() - before; sent != step.requests {
			t.Errorf("%s took %d requests, not %d", step.name, sent, step.requests)
		}
	}
}
