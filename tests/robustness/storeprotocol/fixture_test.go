package storeprotocol_test

import (
	"context"
	"strings"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"github.com/levertide/levertide/internal/lab/platform"
	"github.com/levertide/levertide/internal/platform/consul"
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/store"
	"github.com/levertide/levertide/pkg/store/ratelimit"
	"github.com/levertide/levertide/pkg/versionstore"
)

// shortPause bounds the pauses between attempts in these tests.
const shortPause = 5 * time.Millisecond

// unlimited makes the client-side rate limit ineffective.
var unlimited = ratelimit.Options{
	RequestsPerSecond: 1e9,
	Burst:             1e9,
	RateLimitRetries:  1000,
	MinimumPause:      time.Millisecond,
	MaximumPause:      shortPause,
}

// startPlatform starts the stand-in for the platform's store and returns it with its address.
func startPlatform(t *testing.T) (*platform.Server, string) {
	t.Helper()
	server := platform.New(platform.Config{Seed: 1})
	t.Cleanup(server.Close)
	address, err := server.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return server, address
}

// dial returns a client of the stand-in.
func dial(t *testing.T, address string) *consul.Client {
	t.Helper()
	client := consul.New(consul.Config{Address: "http://" + address})
	t.Cleanup(client.Close)
	return client
}

func open(over store.Store) *versionstore.VersionStore {
	return versionstore.New(versionstore.Config{
		Store:        over,
		Rate:         unlimited,
		MinimumPause: time.Millisecond,
		MaximumPause: shortPause,
	})
}

// startProxy starts a fault-injecting proxy in front of an address.
func startProxy(t *testing.T, upstream string) *toxiproxy.Proxy {
	t.Helper()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	proxy := toxiproxy.NewProxy(server, "store", "127.0.0.1:0", upstream)
	if err := proxy.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Stop)
	return proxy
}

func setToxic(t *testing.T, proxy *toxiproxy.Proxy, toxic string) {
	t.Helper()
	proxy.Toxics.ResetToxics(context.Background())
	if toxic == "" {
		return
	}
	if _, err := proxy.Toxics.AddToxicJson(strings.NewReader(toxic)); err != nil {
		t.Error(err) // not Fatal: this runs on the clients' goroutines
	}
}

func request(applyID string, base rollout.Version, service string) versionstore.ProposeRequest {
	return versionstore.ProposeRequest{ApplyID: applyID, Operator: applyID, Base: base, Resources: []model.Resource{{
		Key:     model.Key{Kind: model.KindService, Name: service},
		Service: &model.Service{Slots: 6, Connections: 130},
	}}}
}

// publish proposes and commits one service, based on the committed version.
func publish(t *testing.T, versions *versionstore.VersionStore, applyID, service string) rollout.Version {
	t.Helper()
	proposed, err := versions.Propose(t.Context(), request(applyID, versions.NewestHead().Committed, service))
	if err != nil {
		t.Fatalf("propose %s: %v", applyID, err)
	}
	if _, err := versions.Commit(t.Context(), proposed.Version, applyID); err != nil {
		t.Fatalf("commit %s: %v", applyID, err)
	}
	return proposed.Version
}

func requireType(t *testing.T, err error, want *errorx.Type) {
	t.Helper()
	if !errorx.IsOfType(err, want) {
		t.Fatalf("got error %v, want %s", err, want.FullName())
	}
}

// requireHead reads the head with a new client, bypassing caches, and compares it.
func requireHead(t *testing.T, address string, generation uint64, committed, proposed rollout.Version) {
	t.Helper()
	head, _, err := open(dial(t, address)).ReadHead(t.Context(), true)
	if err != nil {
		t.Fatal(err)
	}
	if head.Generation != generation || head.Committed != committed || head.Proposed != proposed {
		t.Fatalf("the head is %+v, want generation %d, committed %d, proposed %d", head, generation, committed, proposed)
	}
}

// hookedStore calls before and after around each transaction, with the
// transaction's number, counted from one.
type hookedStore struct {
	store.Store
	number        int
	before, after func(number int)
}

func (w *hookedStore) Transact(ctx context.Context, operations []store.Operation) error {
	w.number++
	if w.before != nil {
		w.before(w.number)
	}
	err := w.Store.Transact(ctx, operations)
	if w.after != nil {
		w.after(w.number)
	}
	return err
}
