package hosted

import (
	"context"
	"slices"

	"github.com/levertide/levertide/internal/exchangepb"
	"github.com/levertide/levertide/pkg/contain"
)

// partKey identifies the part of the own zone that an update is forwarded to.
type partKey struct{ after, until string }

// relay forwards updates, to parts of the own zone or, at a hub, to all its receivers. While an
// update is on its way to a part, further ones for that part are collected and sent together: when
// many nodes have updates at the same time, as after a loss of power, messages stay few.
type relay struct {
	// send returns when the next update for the part may follow.
	send func(ctx context.Context, u update, part partKey)

	mu contain.Mutex
	// waiting holds the update that is to follow, for each part with an update on its way.
	waiting map[partKey]*update
}

func newRelay(send func(ctx context.Context, u update, part partKey)) *relay {
	return &relay{send: send, waiting: map[partKey]*update{}}
}

// forward sends an update to a part, or leaves it to the goroutine that is sending there now.
func (r *relay) forward(ctx context.Context, u update, part partKey) {
	if r.enqueue(u, part) {
		return
	}
	for next := &u; next != nil; next = r.next(part) {
		r.send(ctx, *next, part)
	}
}

// enqueue adds an update to the waiting one if another is on its way, and reports whether one is.
func (r *relay) enqueue(u update, part partKey) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	waiting, busy := r.waiting[part]
	switch {
	case !busy:
		r.waiting[part] = nil
	case waiting == nil:
		r.waiting[part] = &u
	default:
		waiting.add(u)
	}
	return busy
}

// next takes the update that waits for a part; nil when there is none, and the part is then free.
func (r *relay) next(part partKey) *update {
	r.mu.Lock()
	defer r.mu.Unlock()
	waiting := r.waiting[part]
	if waiting == nil {
		delete(r.waiting, part)
		return nil
	}
	r.waiting[part] = nil
	return waiting
}

// add merges a later update: the newest record of each node and the newest document are kept.
func (u *update) add(later update) {
	nodes := make([]*exchangepb.Node, 0, len(u.nodes)+len(later.nodes))
	place := map[string]int{}
	for _, message := range append(append(nodes, u.nodes...), later.nodes...) {
		i, known := place[message.GetId()]
		switch {
		case !known:
			place[message.GetId()] = len(nodes)
			nodes = append(nodes, message)
		case rankOf(message).NewerThan(rankOf(nodes[i])):
			nodes[i] = message
		}
	}
	u.nodes = nodes
	// Messages being sent share these slices: nothing is appended in place.
	u.evidence = slices.Concat(u.evidence, later.evidence)
	if later.document.GetVersion() > u.document.GetVersion() {
		u.document = later.document
	}
	u.version = max(u.version, later.version)
}
