package versionstore_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/store"
	"github.com/levertide/levertide/pkg/store/memory"
	"github.com/levertide/levertide/pkg/store/ratelimit"
	"github.com/levertide/levertide/pkg/versionstore"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// The seed is fixed so that each run checks the same cases. There are more
	// steps than by default, so that held-back writes are delivered after later ones.
	for name, value := range map[string]string{
		"rapid.seed":       "1",
		"rapid.checks":     "400",
		"rapid.steps":      "60",
		"rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// unlimited disables the client-side rate limit, which these tests do not cover.
var unlimited = ratelimit.Options{RequestsPerSecond: 1e9, Burst: 1e9, MinimumPause: 1, MaximumPause: 1}

// open returns a version store without rate limit and with minimal pauses.
func open(over store.Store) *versionstore.VersionStore {
	return versionstore.New(versionstore.Config{
		Store:        over,
		Rate:         unlimited,
		MinimumPause: time.Microsecond,
		MaximumPause: time.Microsecond,
	})
}

// resources returns a service with a route to it for each name.
func resources(names ...string) []model.Resource {
	var set []model.Resource
	for _, name := range names {
		set = append(set, model.Resource{
			Key:     model.Key{Kind: model.KindService, Name: name},
			Service: &model.Service{Slots: 6, Connections: 130},
		}, model.Resource{
			Key:   model.Key{Kind: model.KindRoute, Name: name},
			Route: &model.Route{Match: model.Match{Host: "*", PathPrefix: "/" + name}, Service: name},
		})
	}
	return set
}

func request(applyID string, base rollout.Version, names ...string) versionstore.ProposeRequest {
	return versionstore.ProposeRequest{
		ApplyID:   applyID,
		Operator:  "operator",
		Base:      base,
		Resources: resources(names...),
	}
}

// publish proposes and commits a version and returns its number.
func publish(t *testing.T, versions *versionstore.VersionStore, applyID string, names ...string) rollout.Version {
	t.Helper()
	proposed, err := versions.Propose(t.Context(), request(applyID, versions.NewestHead().Committed, names...))
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

// oneFault returns an Intercept that injects fault into the n-th request of one
// kind, counted from one.
func oneFault(kind memory.RequestKind, n int, fault memory.Fault) func(memory.Request) memory.Fault {
	return func(request memory.Request) memory.Fault {
		if request.Kind != kind {
			return memory.FaultNone
		}
		n--
		if n != 0 {
			return memory.FaultNone
		}
		return fault
	}
}

func names(count int) []string {
	list := make([]string, count)
	for i := range list {
		list[i] = fmt.Sprintf("service-%04d", i)
	}
	return list
}

var background = context.Background()
