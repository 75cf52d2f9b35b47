package mesh

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/levertide/levertide/internal/identity"
	"github.com/levertide/levertide/internal/lab/fabric"
	"github.com/levertide/levertide/internal/lab/observe"
	"github.com/levertide/levertide/internal/lab/process"
	"github.com/levertide/levertide/internal/lab/worker"
)

// Node is one node of the mesh and, unless it is a gateway, its worker.
type Node struct {
	// Name is the node's identifier, Service the name of its worker's service, empty for a gateway.
	Name    string
	Service string
	Zone    string

	// number is the number of Zone, host the node's host number in it, and base
	// the base port of the deployment.
	mesh   *Mesh
	number fabric.ZoneNumber
	host   uint8
	base   int
	seeds  []string
	files  identity.Files
	relays []*fabric.Relay

	// lifecycle is held while the process is started or ended, so that a start
	// waits until the previous process has ended.
	lifecycle sync.Mutex
	mutex     sync.Mutex
	process   *process.Process
}

// address returns the node's IP address.
func (n *Node) address() netip.Addr { return fabric.Address(n.number, n.host) }

// hostPort returns the IP:port of the node's port with the given offset.
func (n *Node) hostPort(offset int) string { return fabric.HostPort(n.number, n.host, n.base+offset) }

// CallerAddress is where callers reach the node; they add the delays themselves
// with a fabric.Dialer.
func (n *Node) CallerAddress() string { return n.hostPort(offsetCaller) }

// CallAddress is where other nodes send calls.
func (n *Node) CallAddress() string { return n.hostPort(offsetCall) }

// ControlAddress is where other nodes send control messages.
func (n *Node) ControlAddress() string { return n.hostPort(offsetControl) }

// AdminAddress is where metrics and status are served, without any delay.
func (n *Node) AdminAddress() string { return n.hostPort(offsetAdmin) }

// Worker returns a client of the worker's control interface; nil for a gateway.
func (n *Node) Worker() *worker.Client {
	if n.Service == "" {
		return nil
	}
	return worker.NewClient(n.hostPort(offsetWorkerControl))
}

// workerStartBound is how long a worker may take to listen.
const workerStartBound = 20 * time.Second

// startWorker starts the worker beside the node and waits until it listens.
func (n *Node) startWorker(ctx context.Context) error {
	if n.Service == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, workerStartBound)
	defer cancel()
	listening := make(chan struct{}, 1)
	running, err := n.mesh.options.Processes.Start(process.Options{
		Name:      n.Name + " worker",
		Path:      n.mesh.options.Programs.Lab,
		Arguments: n.workerArguments(),
		OnOutputLine: func([]byte) {
			select {
			case listening <- struct{}{}:
			default:
			}
		},
	})
	if err != nil {
		return err
	}
	select {
	case <-listening:
		return nil
	case <-running.Done():
		return ErrWorker.New("%s ended before it listened", running.Name())
	case <-ctx.Done():
		return ErrWorker.Wrap(ctx.Err(), "%s did not listen in time", running.Name())
	}
}

// Distribution of the service time of a request at a worker.
const (
	serviceMedian = 4 * time.Millisecond
	serviceSigma  = 0.5
)

// workerArguments returns the command line of the worker.
func (n *Node) workerArguments() []string {
	spec := n.mesh.options.Deployment.Worker
	return []string{
		"worker",
		"--id", n.Name,
		"--listen", n.hostPort(offsetWorker),
		"--control-listen", n.hostPort(offsetWorkerControl),
		"--slots", fmt.Sprint(spec.Slots),
		"--connections", fmt.Sprint(spec.Connections),
		"--service-median", serviceMedian.String(),
		"--service-sigma", fmt.Sprint(serviceSigma),
	}
}

// Start starts the node's process once the previous one has ended. The relays in
// front of it open as soon as it listens.
func (n *Node) Start() error {
	n.lifecycle.Lock()
	defer n.lifecycle.Unlock()
	if previous := n.currentProcess(); previous != nil {
		<-previous.Done()
		n.markEnded()
	}
	n.makeRelays()
	options := n.mesh.options
	started, err := options.Processes.Start(process.Options{
		Name:      n.Name,
		Path:      options.Programs.Levertided,
		Arguments: n.arguments(),
		OnErrorLine: func(line []byte) {
			n.openWhenListening(line)
			options.Recorder.ObserveLine(line)
			if options.OnErrorLine != nil {
				options.OnErrorLine(n.Name, line)
			}
		},
	})
	if err != nil {
		return err
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.process = started
	return nil
}

// arguments returns the command line of the node.
func (n *Node) arguments() []string {
	arguments := []string{
		"--node-id", n.Name,
		"--region", n.mesh.options.Deployment.Region,
		"--zone", n.Zone,
		"--caller-address", n.CallerAddress(),
		"--call-address", n.hostPort(offsetCallTarget),
		"--control-address", n.hostPort(offsetControlTarget),
		"--admin-address", n.AdminAddress(),
		"--advertise-call-address", n.CallAddress(),
		"--advertise-control-address", n.ControlAddress(),
		"--source-address", n.address().String(),
		"--store-address", n.mesh.store.address,
		"--seeds", strings.Join(n.seeds, ","),
	}
	if n.files.Certificate != "" {
		arguments = append(arguments,
			"--tls-ca", n.files.Authorities, "--tls-cert", n.files.Certificate, "--tls-key", n.files.Key)
	}
	if n.Service == "" {
		return append(arguments, "--gateway")
	}
	return append(arguments, "--service", n.Service, "--worker-address", n.hostPort(offsetWorker))
}

// makeRelays creates the relays in front of the node's listeners unless they exist already.
func (n *Node) makeRelays() {
	if n.relays == nil {
		for offset := offsetCall; offset <= offsetControl; offset++ {
			n.relays = append(n.relays, fabric.NewRelay(fabric.RelayOptions{
				Links:  n.mesh.links,
				Zone:   n.number,
				Listen: n.hostPort(offset),
				Target: n.hostPort(offset + offsetCallTarget),
			}))
		}
	}
}

// openWhenListening opens the relays when the line is the event that the process listens.
func (n *Node) openWhenListening(line []byte) {
	event, ok := observe.ParseEvent(line)
	if !ok || event.Number != observe.EventListening {
		return
	}
	for _, relay := range n.relays {
		if err := relay.Open(); err != nil {
			n.mesh.options.Recorder.Observe(observe.Event{
				Node: n.Name, Number: observe.EventStartFailed, Name: "relay not opened", Error: err.Error(),
			})
		}
	}
}

// closeRelays ends the relays.
func (n *Node) closeRelays() {
	for _, relay := range n.relays {
		relay.Close()
	}
}

// Running reports whether the node's process runs.
func (n *Node) Running() bool {
	present := n.currentProcess()
	if present == nil {
		return false
	}
	select {
	case <-present.Done():
		return false
	default:
		return true
	}
}

// Kill ends the node's process as a crash does. Its worker keeps running.
func (n *Node) Kill() {
	n.lifecycle.Lock()
	defer n.lifecycle.Unlock()
	n.currentProcess().Kill()
	n.markEnded()
}

// currentProcess returns the node's process, which may have ended already; nil before the first start.
func (n *Node) currentProcess() *process.Process {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.process
}

// Stop ends the node's process as planned. It reports whether the process ended by itself within
// stopBound with exit code 0.
func (n *Node) Stop() bool {
	n.lifecycle.Lock()
	defer n.lifecycle.Unlock()
	stopping := n.currentProcess()
	orderly := stopping.Stop(stopBound)
	n.markEnded()
	return orderly && stopping.ExitCode() == 0
}

// markEnded makes dials to the node fail, as they do once a process has ended, and records that
// the node has ended.
func (n *Node) markEnded() {
	for _, relay := range n.relays {
		relay.CloseListener()
	}
	n.mesh.options.Recorder.ProcessEnded(n.Name)
}

// Pause suspends the node's process; Resume continues it.
func (n *Node) Pause() { n.currentProcess().Pause() }

// Resume continues a paused process.
func (n *Node) Resume() { n.currentProcess().Resume() }

// Usage returns the processor time and memory that the node's process uses. It fails with
// process.ErrUsage.
func (n *Node) Usage() (process.Usage, error) {
	return n.currentProcess().Usage()
}
