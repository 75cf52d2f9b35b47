package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/levertide/levertide/internal/lab/platform"
	"github.com/levertide/levertide/internal/lab/process"
	"github.com/levertide/levertide/internal/platform/consul"
	"github.com/levertide/levertide/internal/platform/consul/wire"
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/versionstore"
)

const (
	startBound    = 20 * time.Second
	settleBound   = 60 * time.Second
	pollInterval  = 50 * time.Millisecond
	stopAllBound  = 15 * time.Second
	nodeDrainTime = "5m"
	operator      = "levertide-lab load"
)

// processFleet runs levertided processes and a stand-in for the platform.
type processFleet struct {
	program  string
	platform *platform.Server
	store    string // URL of the platform
	group    process.Group

	eventsMutex sync.Mutex
	events      io.Writer

	mutex    sync.Mutex
	nodes    []*processNode
	versions *versionstore.VersionStore
	base     rollout.Version
	applies  int
}

func newProcessFleet(program string, events io.Writer) (*processFleet, error) {
	f := &processFleet{program: program, events: events, platform: platform.New(platform.Config{})}
	address, err := f.platform.Listen("127.0.0.1:0")
	if err != nil {
		return nil, ErrStart.Wrap(err, "listen for the platform stand-in")
	}
	f.store = "http://" + address
	client := consul.New(consul.Config{Address: f.store, Client: operator})
	f.versions = versionstore.New(versionstore.Config{Store: client})
	return f, nil
}

// listeningEvent is the event in which a node reports its addresses.
type listeningEvent struct {
	Number  int    `json:"event"`
	Caller  string `json:"caller_address"`
	Call    string `json:"call_address"`
	Control string `json:"control_address"`
	Admin   string `json:"admin_address"`
}

// eventListening is the number of that event in the catalogue of events.
const eventListening = 102

// processNode is one levertided process.
type processNode struct {
	fleet     *processFleet
	spec      nodeSpec
	process   *process.Process
	addresses listeningEvent
}

func (f *processFleet) start(ctx context.Context, spec nodeSpec) (node, error) {
	listeningEvents := make(chan listeningEvent, 1)
	running, err := f.group.Start(process.Options{
		Name: spec.id, Path: f.program, Arguments: f.arguments(spec),
		OnErrorLine: func(line []byte) {
			f.writeEvent(line)
			var event listeningEvent
			if json.Unmarshal(line, &event) == nil && event.Number == eventListening {
				listeningEvents <- event
			}
		},
	})
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(startBound)
	defer timer.Stop()
	select {
	case event := <-listeningEvents:
		return f.add(spec, running, event), nil
	case <-running.Done():
		return nil, ErrStart.New("node %s ended with exit code %d before it listened", spec.id, running.ExitCode())
	case <-timer.C:
		return nil, ErrStart.New("node %s did not listen within %v", spec.id, startBound)
	case <-ctx.Done():
		return nil, ErrStart.Wrap(ctx.Err(), "wait until node %s listens", spec.id)
	}
}

func (f *processFleet) writeEvent(line []byte) {
	f.eventsMutex.Lock()
	defer f.eventsMutex.Unlock()
	_, _ = fmt.Fprintf(f.events, "%s\n", line)
}

func (f *processFleet) arguments(spec nodeSpec) []string {
	arguments := []string{
		"-node-id", spec.id, "-region", region, "-zone", spec.zone,
		"-store-address", f.store, "-drain-bound", nodeDrainTime,
	}
	if spec.service != "" {
		arguments = append(arguments, "-service", spec.service, "-worker-address", spec.worker)
	}
	if spec.gateway {
		arguments = append(arguments, "-gateway=true")
	}
	return arguments
}

// add registers the node on the platform's list of machines.
func (f *processFleet) add(spec nodeSpec, running *process.Process, addresses listeningEvent) *processNode {
	n := &processNode{fleet: f, spec: spec, process: running, addresses: addresses}
	host, port, _ := net.SplitHostPort(addresses.Control)
	number, _ := strconv.Atoi(port)
	f.platform.Register(wire.ServiceRegistration{
		ID: spec.id, Name: wire.ServiceName, Address: host, Port: number,
		Meta: map[string]string{
			wire.MetaRegion: region, wire.MetaZone: spec.zone, wire.MetaService: spec.service,
			wire.MetaControlAddress: addresses.Control, wire.MetaCallAddress: addresses.Call,
		},
	})
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.nodes = append(f.nodes, n)
	return n
}

func (f *processFleet) apply(ctx context.Context, resources []model.Resource) error {
	f.applies++
	result, err := f.versions.Propose(ctx, versionstore.ProposeRequest{
		ApplyID: fmt.Sprintf("load-%d", f.applies), Operator: operator, Base: f.base, Resources: resources,
	})
	if err != nil {
		return ErrStart.Wrap(err, "propose a version")
	}
	f.base = result.Version
	return f.settle(ctx)
}

// status holds the fields of a node's status that settle waits for.
type status struct {
	Ready          bool   `json:"ready"`
	Reason         string `json:"reason"`
	VersionInForce uint64 `json:"versionInForce"`
	MembersLive    int    `json:"membersLive"`
}

// settle waits until every node is ready, has the last version in force and
// knows all the others.
func (f *processFleet) settle(ctx context.Context) error {
	f.mutex.Lock()
	nodes := append([]*processNode(nil), f.nodes...)
	f.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, settleBound)
	defer cancel()
	for _, n := range nodes {
		if err := n.settle(ctx, uint64(f.base), len(nodes)); err != nil {
			return err
		}
	}
	return nil
}

func (n *processNode) settle(ctx context.Context, version uint64, members int) error {
	for {
		seen, err := n.status(ctx)
		if err == nil && seen.Ready && seen.VersionInForce >= version && seen.MembersLive >= members {
			return nil
		}
		if !sleepUntil(ctx, time.Now().Add(pollInterval)) {
			return ErrStart.New("node %s did not settle: %+v, want version %d and %d members", n.spec.id, seen, version, members)
		}
	}
}

func (n *processNode) status(ctx context.Context) (status, error) {
	var seen status
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.addresses.Admin+"/v1/status", nil)
	if err != nil {
		return seen, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return seen, err
	}
	defer func() { _ = response.Body.Close() }()
	err = json.NewDecoder(response.Body).Decode(&seen)
	_, _ = io.Copy(io.Discard, response.Body)
	return seen, err
}

func (f *processFleet) close() {
	f.group.StopAll(stopAllBound)
	f.platform.Close()
}

func (n *processNode) callerAddress() string { return n.addresses.Caller }

func (n *processNode) usage() (process.Usage, bool) {
	usage, err := n.process.Usage()
	return usage, err == nil
}

// stop marks the node as leaving, ends it as planned and removes it from the list of machines.
func (n *processNode) stop(bound time.Duration) bool {
	n.fleet.platform.SetLeaving(n.spec.id, true)
	ended := n.process.Stop(bound)
	n.fleet.platform.Deregister(n.spec.id)
	n.fleet.remove(n)
	return ended
}

func (n *processNode) kill() {
	n.process.Kill()
	n.fleet.platform.Deregister(n.spec.id)
	n.fleet.remove(n)
}

func (f *processFleet) remove(removed *processNode) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	kept := f.nodes[:0]
	for _, n := range f.nodes {
		if n != removed {
			kept = append(kept, n)
		}
	}
	f.nodes = kept
}
