package control

import (
	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/snapshot"
)

// retainedVersions is how many versions a node keeps as bases of deltas.
const retainedVersions = 4

// feed holds the snapshots that a node has received, in the scope in which it
// receives them. A relay's feed covers every resource, whatever its own worker needs.
type feed struct {
	scope   snapshot.Scope
	history *snapshot.History
}

func newFeed(scope snapshot.Scope) feed {
	return feed{scope: scope, history: snapshot.NewHistory(retainedVersions)}
}

// inScope returns the feed for another scope. A narrower scope keeps the given
// versions; a wider one starts empty.
func (f *feed) inScope(scope snapshot.Scope, shared *Shared, versions ...rollout.Version) feed {
	next := newFeed(scope)
	if !f.scope.All {
		return next
	}
	for _, version := range versions {
		if held, found := f.history.Get(version); found {
			next.history.Add(shared.restrict(held, scope))
		}
	}
	return next
}

// holds returns the snapshot of a version, if there is one.
func (f *feed) holds(version rollout.Version) (*snapshot.Snapshot, bool) {
	if version == 0 {
		return nil, false
	}
	return f.history.Get(version)
}

// lacks reports whether a version that a head names is missing.
func (f *feed) lacks(version rollout.Version) bool {
	if version == 0 {
		return false
	}
	_, held := f.history.Get(version)
	return !held
}

// missing lists the versions that a head names and the feed lacks.
func (f *feed) missing(head rollout.Head) []rollout.Version {
	var versions []rollout.Version
	for _, version := range [...]rollout.Version{head.Committed, head.Proposed} {
		if f.lacks(version) {
			versions = append(versions, version)
		}
	}
	return versions
}

// describe sets in a request the scope and the versions that are held.
func (f *feed) describe(request *controlpb.WatchRequest, head rollout.Head) {
	request.Scope = scopeMessage(f.scope)
	base, held := f.holds(head.Committed)
	if !held {
		base, held = f.history.Latest()
	}
	if held {
		digest := base.Digest()
		request.InForce, request.InForceDigest = base.Version(), digest[:]
	}
	if staged, held := f.holds(head.Proposed); held {
		digest := staged.Digest()
		request.Staged, request.StagedDigest = staged.Version(), digest[:]
	}
}

// apply returns the snapshot that results from a delta. The base of the delta is
// a version that is held or one of earlier, which came in the same answer.
func (f *feed) apply(message *controlpb.Delta, earlier []*snapshot.Snapshot) (*snapshot.Snapshot, error) {
	header := snapshot.Delta{Base: message.GetBase(), Target: message.GetTarget()}
	target, wellFormed := digestOf(message.GetTargetDigest())
	if !wellFormed {
		return nil, ErrMalformed.New("delta without a valid target digest")
	}
	header.TargetDigest = target
	base := snapshot.Empty()
	if header.Base != 0 {
		held, found := f.base(header.Base, earlier)
		if !found {
			return nil, snapshot.ErrBaseMismatch.New("delta from version %d, which is not held", header.Base)
		}
		base = held
	}
	header.BaseDigest = baseDigest(message, base)
	delta, err := snapshot.DecodeDelta(header, message.GetPayload())
	if err != nil {
		return nil, err
	}
	return delta.Apply(base)
}

func (f *feed) base(version rollout.Version, earlier []*snapshot.Snapshot) (*snapshot.Snapshot, bool) {
	for _, received := range earlier {
		if received.Version() == version {
			return received, true
		}
	}
	return f.holds(version)
}

// baseDigest returns the base digest given in the delta, or, if it was omitted,
// that of the base held here.
func baseDigest(message *controlpb.Delta, base *snapshot.Snapshot) model.Digest {
	if digest, given := digestOf(message.GetBaseDigest()); given {
		return digest
	}
	return base.Digest()
}
