package daemon

import (
	"context"

	"github.com/levertide/levertide/internal/telemetry"
	"github.com/levertide/levertide/pkg/membership"
)

const reasonStarting = "the node is starting"

// readiness opens and closes the gate as the control engine becomes ready or
// unready, and writes the changes to the event log. It is a suture service.
type readiness struct {
	daemon *Daemon
	// known is false until the first state has been read.
	known  bool
	ready  bool
	reason string
}

// Serve follows the control engine until the context ends.
func (r *readiness) Serve(ctx context.Context) error {
	for {
		changed := r.daemon.node.Subscribe()
		r.update(r.daemon.node.Readiness())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

func (r *readiness) update(ready bool, reason string) {
	if r.known && r.ready == ready && r.reason == reason {
		return
	}
	r.known, r.ready, r.reason = true, ready, reason
	r.daemon.gate.set(ready, reason)
	if ready {
		r.daemon.log.Ready()
		return
	}
	r.daemon.log.Unready(reason)
}

// String returns the name used in log events.
func (r *readiness) String() string { return "readiness" }

func countMembers(view *membership.View) telemetry.MemberCounts {
	return telemetry.MemberCounts{Live: view.Len(), Leaving: view.Leaving(), Lost: view.Lost()}
}
