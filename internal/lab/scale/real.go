package scale

import (
	"strings"
	"sync"
	"time"

	"github.com/levertide/levertide/internal/lab/fabric"
	"github.com/levertide/levertide/internal/lab/hollow"
	"github.com/levertide/levertide/internal/lab/observe"
	"github.com/levertide/levertide/internal/lab/process"
)

// realNode is one levertided process among the hollow nodes.
type realNode struct {
	spec    hollow.NodeSpec
	cluster *Cluster
	relay   *fabric.Relay

	mutex   sync.Mutex
	process *process.Process
}

// Offsets of a real process's own listeners from its control port.
const (
	offsetControlBehind = 1 + iota
	offsetCall
	offsetCaller
	offsetAdmin
)

// at returns IP:port of one of the node's ports.
func (n *realNode) at(offset int) string {
	return fabric.HostPort(n.spec.Number, n.spec.Host, n.spec.Port+offset)
}

// start starts the process. The relay in front of its control listener opens
// as soon as it listens.
func (n *realNode) start() error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	started, err := n.cluster.group.Start(process.Options{
		Name:        n.spec.ID,
		Path:        n.cluster.options.Levertided,
		Arguments:   n.arguments(),
		OnErrorLine: n.observeLine,
	})
	if err != nil {
		return err
	}
	n.process = started
	return nil
}

// observeLine takes a line of the process and opens the relay when it tells
// that the process listens.
func (n *realNode) observeLine(line []byte) {
	if event, ok := observe.ParseEvent(line); ok && event.Number == observe.EventListening {
		if err := n.relay.Open(); err != nil {
			n.cluster.recorder.Observe(observe.Event{
				Node: n.spec.ID, Number: observe.EventStartFailed, Name: "relay not opened", Error: err.Error(),
			})
		}
	}
	n.cluster.events.take(line)
}

// arguments returns the command line of the process.
func (n *realNode) arguments() []string {
	return []string{
		"--node-id", n.spec.ID,
		"--region", n.spec.Region,
		"--zone", n.spec.Zone,
		"--service", n.spec.Service,
		"--worker-address", n.cluster.worker.Address(),
		"--caller-address", n.at(offsetCaller),
		"--call-address", n.at(offsetCall),
		"--control-address", n.at(offsetControlBehind),
		"--advertise-control-address", controlAddress(n.spec),
		"--admin-address", n.at(offsetAdmin),
		"--source-address", fabric.Address(n.spec.Number, n.spec.Host).String(),
		"--store-address", n.cluster.storeRelayed,
		"--seeds", strings.Join(n.spec.Seeds, ","),
	}
}

// running returns the node's present or last process.
func (n *realNode) running() *process.Process {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.process
}

// kill ends the process as a crash does.
func (n *realNode) kill() {
	n.running().Kill()
	n.gone()
}

// realStopBound is how long a real process may take for a planned stop.
const realStopBound = 20 * time.Second

// leave ends the process as planned.
func (n *realNode) leave() {
	n.running().Stop(realStopBound)
	n.gone()
}

// gone makes dials to the node fail.
func (n *realNode) gone() {
	n.relay.CloseListener()
	n.cluster.recorder.Gone(n.spec.ID)
}

// usage returns what the process has used.
func (n *realNode) usage() (process.Usage, error) {
	return n.running().Usage()
}
