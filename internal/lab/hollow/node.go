package hollow

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/levertide/levertide/internal/control"
	"github.com/levertide/levertide/internal/lab/fabric"
	"github.com/levertide/levertide/internal/platform/consul"
	"github.com/levertide/levertide/internal/telemetry"
	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/model"
)

// How soon the kernel notices that the other side of a connection is gone.
const (
	keepAliveIdle  = time.Second
	keepAliveCount = 2
)

// node is one hollow node.
type node struct {
	spec    NodeSpec
	traffic *control.Traffic
	series  series

	// The rest belongs to the present incarnation; engine is nil when none runs.
	engine  *control.Node
	sockets *sockets
	stop    context.CancelFunc
	done    chan struct{}
}

// surroundings is what the nodes of one process have in common.
type surroundings struct {
	links        *fabric.Links
	storeAddress string
	shared       *control.Shared
	events       io.Writer
	inForce      func(node string, version uint64)
}

// eventLog writes a node's events and has each version that it runs checked.
type eventLog struct {
	*telemetry.Log
	node    string
	inForce func(node string, version uint64)
}

// VersionInForce records the version and has it checked.
func (l eventLog) VersionInForce(version uint64, digest model.Digest) {
	l.Log.VersionInForce(version, digest)
	l.inForce(l.node, version)
}

// start runs a new incarnation of the node.
func (n *node) start(around surroundings) error {
	address := fabric.HostPort(n.spec.Number, n.spec.Host, n.spec.Port)
	inner, err := net.Listen("tcp4", address)
	if err != nil {
		return ErrNode.Wrap(err, "listener of %s", n.spec.ID)
	}
	n.sockets = newSockets()
	dialer := fabric.NewDialer(around.links, n.spec.Number, fabric.Address(n.spec.Number, n.spec.Host))
	dial := n.sockets.dial(dialer.DialContext)
	store := consul.New(consul.Config{
		Address: "http://" + around.storeAddress,
		Client:  "levertided/" + n.spec.ID,
		Dial:    dial,
	})
	engine, err := control.New(control.Config{
		Self: membership.Record{
			ID:             n.spec.ID,
			Region:         n.spec.Region,
			Zone:           n.spec.Zone,
			Service:        n.spec.Service,
			ControlAddress: address,
			CallAddress:    fabric.HostPort(n.spec.Number, n.spec.Host, n.spec.Port+1),
		},
		Seeds:    n.spec.Seeds,
		Listener: fabric.NewListener(&trackedListener{inner, n.sockets}, around.links, n.spec.Number),
		Dial:     dial,
		Store:    store,
		Machines: store,
		Events: eventLog{
			Log:     telemetry.NewLog(around.events, n.spec.ID, telemetry.LevelInfo),
			node:    n.spec.ID,
			inForce: around.inForce,
		},
		Traffic: n.traffic,
		Shared:  around.shared,
	})
	if err != nil {
		_ = inner.Close()
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.engine, n.stop, n.done = engine, cancel, make(chan struct{})
	go func(done chan struct{}) {
		defer close(done)
		defer store.Close()
		_ = engine.Serve(ctx)
	}(n.done)
	return nil
}

// crash ends the present incarnation at once.
func (n *node) crash() {
	if n.engine == nil {
		return
	}
	n.sockets.crash()
	n.stop()
	<-n.done
	n.engine = nil
}

// leave tells others that the node goes, and ends it after the pause.
func (n *node) leave(pause time.Duration) {
	if n.engine == nil {
		return
	}
	n.engine.SetLeaving()
	time.Sleep(pause)
	n.stop()
	<-n.done
	n.engine = nil
}
