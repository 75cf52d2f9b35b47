package snapshot_test

import (
	"maps"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/snapshot"
)

// encodeAndDecode encodes and decodes a delta.
func encodeAndDecode(t *rapid.T, delta snapshot.Delta) snapshot.Delta {
	payload, err := delta.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if delta.Empty() != (len(payload) == 0) {
		t.Fatalf("empty: %v, payload of %d bytes", delta.Empty(), len(payload))
	}
	received, err := snapshot.DecodeDelta(delta, payload)
	if err != nil {
		t.Fatal(err)
	}
	return received
}

func requireSame(t *rapid.T, got, want *snapshot.Snapshot) {
	if got.Version() != want.Version() || got.Digest() != want.Digest() || !slices.Equal(got.Keys(), want.Keys()) {
		t.Fatalf("got version %d %v, want version %d %v", got.Version(), got.Keys(), want.Version(), want.Keys())
	}
}

func TestApplyOfDiffGivesTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, target := drawSnapshot(t, 1), drawSnapshot(t, 2)
		delta := encodeAndDecode(t, snapshot.Diff(base, target))
		applied, err := delta.Apply(base)
		if err != nil {
			t.Fatal(err)
		}
		requireSame(t, applied, target)
		complete, err := encodeAndDecode(t, snapshot.Diff(nil, target)).Apply(nil)
		if err != nil {
			t.Fatal(err)
		}
		requireSame(t, complete, target)
	})
}

// TestRestrictedDeltaGivesRestrictedTarget updates a node that holds one scope of
// the base to the same scope of the target, or to another scope, as after a change
// of the node's role in the tree.
func TestRestrictedDeltaGivesRestrictedTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, target, scope := drawSnapshot(t, 1), drawSnapshot(t, 2), drawScope(t)
		complete, err := snapshot.Diff(base, target).Apply(base)
		if err != nil {
			t.Fatal(err)
		}
		for _, before := range []snapshot.Scope{scope, drawScope(t)} {
			held := base.Restrict(before)
			delta := encodeAndDecode(t, snapshot.Diff(held, target.Restrict(scope)))
			applied, err := delta.Apply(held)
			if err != nil {
				t.Fatal(err)
			}
			requireSame(t, applied, complete.Restrict(scope))
		}
	})
}

func TestRestrictIsClosedAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		complete, scope := drawSnapshot(t, 7), drawScope(t)
		part := complete.Restrict(scope)
		rebuilt, err := snapshot.New(part.Version(), slices.Collect(part.Resources()))
		if err != nil {
			t.Fatal(err)
		}
		if !slices.Equal(rebuilt.Keys(), part.Keys()) {
			t.Fatalf("rebuilt %v of %v", rebuilt.Keys(), part.Keys())
		}
		if whollyInScope := len(outOfScope(part)) == 0; whollyInScope != (rebuilt.Digest() == part.Digest()) {
			t.Fatalf("nothing out of scope: %v, same digest: %v", whollyInScope, !whollyInScope)
		}
		requireSame(t, part.Restrict(scope), part)
		for _, key := range part.Keys() {
			held, _ := part.ResourceDigest(key)
			if original, found := complete.ResourceDigest(key); !found || held != original {
				t.Fatalf("the content of %s differs from the complete snapshot", key)
			}
		}
		requireScopeContent(t, complete, part, scope)
		requireOutOfScope(t, complete, part)
	})
}

func outOfScope(s *snapshot.Snapshot) map[string]model.Match { return maps.Collect(s.OutOfScope()) }

// requireOutOfScope checks that OutOfScope of the part lists exactly those routes
// which the part does not hold and which overlap with one that it holds.
func requireOutOfScope(t *rapid.T, complete, part *snapshot.Snapshot) {
	want := map[string]model.Match{}
	for name, route := range complete.Routes() {
		if _, held := part.Route(name); held {
			continue
		}
		for _, held := range part.Routes() {
			if route.Match.Overlaps(held.Match) {
				want[name] = route.Match
			}
		}
	}
	if difference := cmp.Diff(want, outOfScope(part)); difference != "" {
		t.Fatal(difference)
	}
}

// requireScopeContent checks that the part holds exactly what the scope covers, and
// no secret that none of its routes needs.
func requireScopeContent(t *rapid.T, complete, part *snapshot.Snapshot, scope snapshot.Scope) {
	own, found := complete.Service(scope.Service)
	reaches := func(name string) bool {
		return scope.All || found && (own.Calls == nil || name == scope.Service || slices.Contains(own.Calls, name))
	}
	for name := range complete.Services() {
		if _, held := part.Service(name); held != reaches(name) {
			t.Fatalf("service %s held: %v", name, held)
		}
	}
	for name := range complete.Tenants() {
		if _, held := part.Resource(model.Key{Kind: model.KindTenant, Name: name}); held != (scope.All || found) {
			t.Fatalf("tenant %s held: %v", name, held)
		}
	}
	for name, route := range complete.Routes() {
		if _, held := part.Route(name); held != reaches(route.Service) {
			t.Fatalf("route %s held: %v", name, held)
		}
	}
	if scope.All || found && own.Calls == nil {
		return
	}
	needed := map[string]bool{}
	for _, route := range part.Routes() {
		if route.Credential != nil {
			needed[route.Credential.Secret] = true
		}
	}
	for _, key := range part.Keys() {
		if key.Kind == model.KindSecret && !needed[key.Name] {
			t.Fatalf("secret %s is held for no route", key.Name)
		}
	}
}

func TestApplyToAnotherBaseIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, target, other := drawSnapshot(t, 1), drawSnapshot(t, 2), drawSnapshot(t, 3)
		applied, err := snapshot.Diff(base, target).Apply(other)
		if base.Digest() != other.Digest() {
			requireType(t, err, snapshot.ErrBaseMismatch)
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		requireSame(t, applied, target)
	})
}

func TestTamperedDeltaIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, target := drawSnapshot(t, 1), drawSnapshot(t, 2)
		delta := snapshot.Diff(base, target)
		delta.Upserts = append(slices.Clone(delta.Upserts), secret("intruder", "x"))
		_, err := delta.Apply(base)
		requireType(t, err, snapshot.ErrDigestMismatch)
	})
}

func TestDigestDependsOnContentOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, two := drawSnapshot(t, 1), drawSnapshot(t, 2)
		same := slices.Equal(one.Keys(), two.Keys())
		for _, key := range one.Keys() {
			left, _ := model.Encode(mustResource(one, key))
			right, _ := model.Encode(mustResource(two, key))
			same = same && string(left) == string(right)
		}
		if same != (one.Digest() == two.Digest()) {
			t.Fatalf("same content: %v, same digest: %v", same, !same)
		}
	})
}

func mustResource(s *snapshot.Snapshot, key model.Key) model.Resource {
	resource, _ := s.Resource(key)
	return resource
}
