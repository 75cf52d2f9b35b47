package control

import (
	"fmt"
	"testing"

	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/store/ratelimit"
	"github.com/levertide/levertide/pkg/versionstore"
)

// keys counts the records of one kind in the store.
func (m *mesh) keys(directory string) int {
	keys, err := m.store.ListKeys(m.t.Context(), versionstore.DefaultPrefix+directory)
	if err != nil {
		m.t.Fatal(err)
	}
	return len(keys)
}

func TestCoordinatorRemovesOldVersions(t *testing.T) {
	t.Parallel()
	const (
		bound    = versionstore.DefaultRetain + versionstore.DefaultSweepSlack
		versions = bound + 4
	)
	m := newMesh(t)
	m.versions = versionstore.New(versionstore.Config{
		Store: m.store,
		Rate:  ratelimit.Options{RequestsPerSecond: 1e6, Burst: 1e6},
	})
	node := m.start("c0", "c", "ledger")
	var last rollout.Version
	for index := range versions {
		last = m.propose(fmt.Sprint("mark", index))
		m.eventually("the node runs the version", runsNow(node, last))
	}
	m.eventually("old versions are removed", func() bool {
		return m.keys("version/") <= bound && m.keys("resource/") <= bound+1
	})
	if head := m.head(); head.Committed != last || head.Proposed != 0 {
		t.Fatalf("the head is %+v", head)
	}
	loaded, err := m.versions.LoadSnapshot(t.Context(), last, nil)
	if err != nil || loaded.Version() != last {
		t.Fatalf("the version that the head names: %v", err)
	}
}
