package storeprotocol_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/levertide/levertide/internal/lab/platform"
	"github.com/levertide/levertide/internal/platform/consul"
	"github.com/levertide/levertide/internal/platform/consul/wire"
	"github.com/levertide/levertide/pkg/store"
	"github.com/levertide/levertide/pkg/versionstore"
)

// proposalTransaction is the number of the transaction, within an apply, that
// writes the proposal.
const (
	proposalTransaction = 2
)

var outages = []platform.Outage{platform.OutageRefuse, platform.OutageClose, platform.OutageNoLeader}

func TestStoreDownBeforeTheWrite(t *testing.T) {
	for _, outage := range outages {
		t.Run(string(outage), func(t *testing.T) {
			server, address := startPlatform(t)
			versions := open(dial(t, address))
			server.SetFaults(platform.Faults{Outage: outage})
			_, err := versions.Propose(t.Context(), request("apply-1", 0, "ledger"))
			requireType(t, err, store.ErrUnreachable)
			server.SetFaults(platform.Faults{})
			requireHead(t, address, 0, 0, 0)
			publish(t, versions, "apply-1", "ledger")
			requireHead(t, address, 2, 1, 0)
		})
	}
}

// TestStoreDownDuringTheWrite takes the store down between the write of the
// resources and that of the proposal. The result that the caller gets must match
// the state of the store.
func TestStoreDownDuringTheWrite(t *testing.T) {
	for _, outage := range outages {
		t.Run(string(outage), func(t *testing.T) {
			server, address := startPlatform(t)
			watched := &hookedStore{Store: dial(t, address)}
			watched.before = func(number int) {
				if number == proposalTransaction {
					server.SetFaults(platform.Faults{Outage: outage})
					go endOutage(t.Context(), server, outage)
				}
			}
			result, err := open(watched).Propose(t.Context(), request("apply-1", 0, "ledger"))
			server.SetFaults(platform.Faults{})
			if err != nil {
				requireType(t, err, store.ErrUnreachable)
				requireHead(t, address, 0, 0, 0)
				return
			}
			if result.Version != 1 {
				t.Errorf("got version %d", result.Version)
			}
			requireHead(t, address, 1, 0, 1)
		})
	}
}

// endOutage ends an outage once a few more requests have reached the server. The
// stand-in does not see refused connections, so that kind of outage ends at once.
func endOutage(ctx context.Context, server *platform.Server, outage platform.Outage) {
	const requestsMet = 3
	target := server.Counters().Total + requestsMet
	for outage != platform.OutageRefuse && server.Counters().Total < target {
		if ctx.Err() != nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
	server.SetFaults(platform.Faults{})
}

// TestStoreDownAfterTheWrite drops the answer to the proposal and keeps the store
// down for longer than the settle timeout.
func TestStoreDownAfterTheWrite(t *testing.T) {
	server, address := startPlatform(t)
	watched := &hookedStore{Store: dial(t, address)}
	watched.before = func(number int) {
		if number == proposalTransaction {
			server.SetFaults(platform.Faults{LoseAnswers: 1})
		}
	}
	watched.after = func(number int) {
		if number == proposalTransaction {
			server.SetFaults(platform.Faults{Outage: platform.OutageRefuse})
		}
	}
	versions := versionstore.New(versionstore.Config{
		Store:         watched,
		Rate:          unlimited,
		MinimumPause:  time.Millisecond,
		MaximumPause:  shortPause,
		SettleTimeout: 10 * shortPause,
	})
	_, err := versions.Propose(t.Context(), request("apply-1", 0, "ledger"))
	requireType(t, err, versionstore.ErrUnknownOutcome)
	server.SetFaults(platform.Faults{})
	state, err := versions.Resolve(t.Context(), "apply-1")
	if err != nil || state.Phase != versionstore.ApplyProposed || state.Version != 1 {
		t.Fatalf("the apply resolves to %+v, %v", state, err)
	}
	again, err := versions.Propose(t.Context(), request("apply-1", 0, "ledger"))
	if err != nil || again.Version != 1 {
		t.Fatalf("the same apply gave %+v, %v", again, err)
	}
	requireHead(t, address, 1, 0, 1)
}

// TestStoreSlowerThanTheTimeout delays answers past the client's timeout, while
// the writes still take effect.
func TestStoreSlowerThanTheTimeout(t *testing.T) {
	server, address := startPlatform(t)
	const timeout = 400 * time.Millisecond
	client := consul.New(consul.Config{Address: "http://" + address, Timeout: timeout})
	t.Cleanup(client.Close)
	watched := &hookedStore{Store: client}
	watched.before = func(number int) {
		if number == proposalTransaction {
			server.SetFaults(platform.Faults{Delay: 2 * timeout})
			go endOutage(t.Context(), server, platform.OutageNone)
		}
	}
	versions := open(watched)
	publish(t, versions, "apply-1", "ledger")
	requireHead(t, address, 2, 1, 0)
}

func TestAnswersLostAfterEachWrite(t *testing.T) {
	server, address := startPlatform(t)
	versions := open(dial(t, address))
	for round := range 6 {
		server.SetFaults(platform.Faults{LoseAnswers: round % 3, LoseRequests: round / 3, OnlyPath: wire.PathTransaction})
		publish(t, versions, fmt.Sprintf("apply-%d", round), fmt.Sprintf("service-%d", round))
	}
	requireHead(t, address, 12, 6, 0)
}

func TestHalfOfTheAnswersLost(t *testing.T) {
	server, address := startPlatform(t)
	server.SetFaults(platform.Faults{LoseAnswerShare: 0.5})
	versions := open(dial(t, address))
	const applies = 10
	for i := range applies {
		publish(t, versions, fmt.Sprintf("apply-%d", i), fmt.Sprintf("service-%d", i))
	}
	requireHead(t, address, 2*applies, applies, 0)
}

func TestApplyUnderTheRateLimit(t *testing.T) {
	server, address := startPlatform(t)
	server.SetFaults(platform.Faults{RequestsPerSecond: 100, Burst: 1})
	publish(t, open(dial(t, address)), "apply-1", "ledger")
	if server.Counters().Refused == 0 {
		t.Error("no request was refused, so the test shows nothing")
	}
	server.SetFaults(platform.Faults{})
	requireHead(t, address, 2, 1, 0)
}

// TestReorderedAnswers reads the head while it is written, so that answers may
// arrive in another order than they were sent. None may be mistaken for a
// regression of the store.
func TestReorderedAnswers(t *testing.T) {
	_, address := startPlatform(t)
	versions := open(dial(t, address))
	done := make(chan struct{})
	var readers sync.WaitGroup
	for range 4 {
		readers.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				if _, _, err := versions.ReadHead(t.Context(), false); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	const applies = 30
	for i := range applies {
		publish(t, versions, fmt.Sprintf("apply-%d", i), "ledger")
	}
	close(done)
	readers.Wait()
	requireHead(t, address, 2*applies, applies, 0)
}
