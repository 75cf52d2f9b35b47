package load

import (
	"context"
	"time"

	"github.com/levertide/levertide/internal/lab/process"
	"github.com/levertide/levertide/pkg/model"
)

// region is the region of all nodes.
const region = "lab"

// nodeSpec describes a node to start.
type nodeSpec struct {
	id, zone string
	// service and worker are empty for a node without a worker.
	service, worker string
	gateway         bool
}

// node is a running node.
type node interface {
	// callerAddress is host:port for callers.
	callerAddress() string
	// usage reads processor time and memory; false when the node is no process.
	usage() (process.Usage, bool)
	// memory reads the current and the peak resident memory, in bytes; false when it cannot.
	memory() (resident, peak uint64, ok bool)
	// stop ends the node as planned and reports whether it ended by itself.
	stop(bound time.Duration) bool
	// kill ends the node at once, as a crash does.
	kill()
}

// fleet starts nodes and gives them their configuration.
type fleet interface {
	start(ctx context.Context, spec nodeSpec) (node, error)
	// apply brings the resources into force on every node started so far.
	apply(ctx context.Context, resources []model.Resource) error
	// settle waits until every node is ready and knows all the others.
	settle(ctx context.Context) error
	close()
}

// newFleet returns a fleet of levertided processes if the options name the program, and of data
// planes inside the lab's process otherwise.
func newFleet(options Options) (fleet, error) {
	if options.Levertided == "" {
		return newInsideFleet(false), nil
	}
	return newProcessFleet(options.Levertided, options.Events)
}
