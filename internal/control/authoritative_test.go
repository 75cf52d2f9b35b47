package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/rollout"
)

// TestNodeIsAuthoritativeInTheLargerPartOnly checks that a node is authoritative
// only in the larger part of the system, and only once its tree has had the same
// root for Config.TreeSettle.
func TestNodeIsAuthoritativeInTheLargerPartOnly(t *testing.T) {
	t.Parallel()
	m := newMesh(t)
	node := m.start("a0", "a", "ledger", func(c *Config) { c.TreeSettle = time.Hour })
	m.eventually("the node knows the floor", func() bool {
		node.mutex.Lock()
		defer node.mutex.Unlock()
		state := node.participant.State()
		return state.FloorKnown && state.HeadKnown
	})
	if node.localFloor("", zoneKey{}).GetKnown() {
		t.Fatal("a node is authoritative although its tree is new")
	}
	node.mutex.Lock()
	node.upstream.treeRootSince = time.Now().Add(-2 * time.Hour)
	node.mutex.Unlock()
	if !node.localFloor("", zoneKey{}).GetKnown() {
		t.Fatal("a node is not authoritative in a settled tree")
	}
	node.mutex.Lock()
	for index := range 2 {
		node.table.Merge(membership.Record{ID: fmt.Sprint("lost", index), Region: "nl", Zone: "b", State: membership.StateLost})
	}
	node.mutex.Unlock()
	if node.localFloor("", zoneKey{}).GetKnown() {
		t.Fatal("a node is authoritative although most nodes are lost")
	}
}

func TestFloorSharesTheNextCallOnly(t *testing.T) {
	t.Parallel()
	var calls nextFlight[rollout.Version]
	begun, release := make(chan struct{}), make(chan struct{})
	go func() {
		_, _ = calls.do(t.Context(), func() (rollout.Version, error) {
			close(begun)
			<-release
			return 1, nil
		})
	}()
	<-begun
	answered := make(chan rollout.Version)
	for range 3 {
		go func() {
			version, _ := calls.do(t.Context(), func() (rollout.Version, error) { return 2, nil })
			answered <- version
		}()
	}
	close(release)
	for range 3 {
		if version := <-answered; version == 1 {
			t.Fatal("an answer of a call that began earlier was shared")
		}
	}
}
