package storeprotocol_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/lease"
	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/versionstore"
)

// proposal is the result of one operator's proposal.
type proposal struct {
	applyID string
	result  versionstore.ProposeResult
	err     error
}

// TestConcurrentOperators has several operators apply different sets on the same base at once.
func TestConcurrentOperators(t *testing.T) {
	for _, operators := range []int{2, 3} {
		t.Run(fmt.Sprintf("%d operators", operators), func(t *testing.T) {
			_, address := startPlatform(t)
			coordinator := open(dial(t, address))
			clients := make([]*versionstore.VersionStore, operators)
			for i := range clients {
				clients[i] = open(dial(t, address))
			}
			const rounds = 10
			for round := range rounds {
				winner := race(t, clients, rollout.Version(round))
				loaded, err := coordinator.LoadSnapshot(t.Context(), winner.result.Version, nil)
				if err != nil {
					t.Fatal(err)
				}
				if _, found := loaded.Service(winner.applyID); !found || loaded.Len() != 1 {
					t.Fatalf("version %d holds %v, want only the service that %s applied", loaded.Version(), loaded.Keys(), winner.applyID)
				}
				if _, err := coordinator.Commit(t.Context(), winner.result.Version, winner.applyID); err != nil {
					t.Fatal(err)
				}
			}
			requireHead(t, address, 2*rounds, rounds, 0)
		})
	}
}

// race proposes with all clients at once and returns the one that succeeded.
func race(t *testing.T, clients []*versionstore.VersionStore, base rollout.Version) proposal {
	t.Helper()
	results := make(chan proposal)
	for i, client := range clients {
		applyID := fmt.Sprintf("operator-%d-%d", i, base)
		go func() {
			result, err := client.Propose(t.Context(), request(applyID, base, applyID))
			results <- proposal{applyID: applyID, result: result, err: err}
		}()
	}
	var winners []proposal
	for range clients {
		received := <-results
		switch {
		case received.err == nil:
			winners = append(winners, received)
		case !errorx.IsOfType(received.err, versionstore.ErrConflict) && !errorx.IsOfType(received.err, versionstore.ErrRolloutInProgress):
			t.Errorf("%s got unexpected error %v", received.applyID, received.err)
		}
	}
	if len(winners) != 1 {
		t.Fatalf("%d operators succeeded on base %d, want 1", len(winners), base)
	}
	return winners[0]
}

// TestPausedCoordinatorDoesNoHarm pauses the holder of a lease past its time to
// live, has another node take over and abort the version, and then resumes the
// first holder, whose commit must fail.
func TestPausedCoordinatorDoesNoHarm(t *testing.T) {
	server, address := startPlatform(t)
	var pausedFor atomic.Int64
	paused := lease.New(lease.Options{Store: dial(t, address), Name: "paused", Now: func() time.Time {
		return time.Now().Add(time.Duration(pausedFor.Load()))
	}})
	const key = "levertide/reader/0"
	held, err := paused.TryAcquire(t.Context(), key, []byte("paused"))
	if err != nil {
		t.Fatal(err)
	}
	first := open(dial(t, address))
	if _, err := first.Propose(t.Context(), request("apply-1", 0, "ledger")); err != nil {
		t.Fatal(err)
	}

	pausedFor.Store(int64(lease.DefaultTTL))
	server.LapseSessions()
	other, err := lease.New(lease.Options{Store: dial(t, address)}).TryAcquire(t.Context(), key, []byte("other"))
	if err != nil {
		t.Fatal(err)
	}
	second := open(dial(t, address))
	if _, err := second.Abort(t.Context(), 1, rollout.Rejection{Node: "node", Reason: "refused"}); err != nil {
		t.Fatal(err)
	}

	if held.Valid() {
		t.Error("the paused holder still considers its lease valid")
	}
	<-held.Lost()
	_, err = first.Commit(t.Context(), 1, "apply-1")
	requireType(t, err, versionstore.ErrConflict)
	requireHead(t, address, 2, 0, 0)
	requireType(t, held.Release(t.Context()), lease.ErrLeaseLost)
	holder, err := paused.Holder(t.Context(), key)
	if err != nil || !holder.Held || string(holder.Value) != "other" {
		t.Errorf("the holder is %+v, %v", holder, err)
	}
	if err := other.Release(t.Context()); err != nil {
		t.Error(err)
	}
}

func TestRestoredFromAnOlderCopy(t *testing.T) {
	server, address := startPlatform(t)
	versions := open(dial(t, address))
	publish(t, versions, "apply-1", "ledger")
	older := server.State()
	publish(t, versions, "apply-2", "archive")
	known := versions.NewestHead()
	server.Restore(older)

	_, _, err := versions.WatchHead(t.Context(), 0, 0)
	requireType(t, err, versionstore.ErrStoreRegressed)
	_, err = versions.Commit(t.Context(), 2, "apply-2")
	requireType(t, err, versionstore.ErrStoreRegressed)
	requireHead(t, address, 2, 1, 0)

	recovery := request("apply-3", known.Committed, "archive")
	recovery.KnownHead = &known
	result, err := open(dial(t, address)).Propose(t.Context(), recovery)
	if err != nil || result.Version != 3 {
		t.Fatalf("recovery gave %+v, %v", result, err)
	}
	if _, err := versions.Commit(t.Context(), 3, "apply-3"); err != nil {
		t.Fatal(err)
	}
	requireHead(t, address, known.Generation+2, 3, 0)
}
