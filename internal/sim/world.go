package sim

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/snapshot"
	"github.com/levertide/levertide/pkg/store"
	"github.com/levertide/levertide/pkg/store/memory"
	"github.com/levertide/levertide/pkg/topology"
)

// Options shapes a world.
type Options struct {
	Seed uint64
	// Regions, ZonesPerRegion and NodesPerZone give the size of the world.
	Regions, ZonesPerRegion, NodesPerZone int
	// FanOut and Readers are those of topology.Options.
	FanOut, Readers int
	// Calm disables the faults that are otherwise drawn at random, including those of
	// requests to the store and of messages on the network.
	Calm bool
	// Log, when set, receives a line for each write of the head, each fault and each
	// version that a node puts in force.
	Log func(at time.Duration, step uint64, text string)
	// Seams replaces parts of the system by broken ones; only tests set it.
	Seams Seams
}

// Seams lets a test break one safeguard at a time, to show that the oracle detects
// it.
type Seams struct {
	// Participant replaces rollout.NewParticipant.
	Participant func(rollout.ParticipantOptions) Participant
	// Operations rewrites the operations of a transaction.
	Operations func(operation string, operations []store.Operation) []store.Operation
	// NoFloor lets restarted nodes run the first version that they learn of.
	NoFloor bool
	// Activation replaces the snapshot that a node puts in force.
	Activation func(inForce, next *snapshot.Snapshot) *snapshot.Snapshot
	// RepeatUnknown repeats requests whose outcome is unknown, even unrepeatable ones.
	RepeatUnknown bool
	// LateNotRun reports some requests as not run that a worker has run.
	LateNotRun bool
}

func (o Options) withDefaults() Options {
	set := func(field *int, value int) {
		if *field <= 0 {
			*field = value
		}
	}
	set(&o.Regions, 2)
	set(&o.ZonesPerRegion, 2)
	set(&o.NodesPerZone, 4)
	set(&o.FanOut, 2)
	set(&o.Readers, topology.DefaultReaders)
	return o
}

func (o Options) topology() topology.Options {
	return topology.Options{FanOut: o.FanOut, Readers: o.Readers}
}

// World is the whole simulated system. It is not safe for concurrent use.
type World struct {
	options   Options
	random    random
	scheduler scheduler
	trace     *trace
	network   *network
	memory    *memory.Store
	// running is the operation whose coroutine runs now.
	running *operation
	nodes   []*node
	byID    map[string]*node
	zones   []string
	faults  *faults
	oracle  *oracle
	applies applies
	callers callers
	steps   uint64
	// settling suppresses faults, applies and calls while the world settles.
	settling bool
}

// epoch is the wall clock at the start of simulated time.
var epoch = time.Unix(1_800_000_000, 0).UTC()

// New returns a world in which all nodes have just started.
func New(options Options) *World {
	options = options.withDefaults()
	w := &World{
		options: options,
		random:  newRandom(options.Seed),
		trace:   newTrace(),
		byID:    make(map[string]*node),
	}
	w.network = &network{world: w, cut: make(map[link]bool)}
	w.oracle = newOracle(w)
	w.faults = newFaults(w)
	w.memory = memory.New(memory.Options{Intercept: w.intercept})
	w.makeNodes()
	for _, n := range w.nodes {
		w.start(n)
	}
	if !options.Calm {
		w.faults.schedule()
	}
	w.applies.world = w
	w.applies.schedule()
	w.callers.world = w
	w.callers.schedule()
	return w
}

func (w *World) makeNodes() {
	for region := range w.options.Regions {
		for zone := range w.options.ZonesPerRegion {
			zoneName := fmt.Sprintf("zone-%d-%d", region, zone)
			w.zones = append(w.zones, zoneName)
			for index := range w.options.NodesPerZone {
				n := &node{
					id:      fmt.Sprintf("node-%d-%d-%d", region, zone, index),
					region:  fmt.Sprint("region-", region),
					zone:    zoneName,
					service: serviceName(index % serviceCount),
				}
				w.nodes = append(w.nodes, n)
				w.byID[n.id] = n
			}
		}
	}
}

// wallClock returns the true time, without the error of any node's clock.
func (w *World) wallClock() time.Time { return epoch.Add(w.scheduler.now) }

// Step carries out the next event.
func (w *World) Step() {
	next := w.scheduler.next()
	w.steps++
	w.memory.Advance(w.scheduler.now)
	w.trace.record(next.at, next.name, "")
	next.run()
}

// Steps returns how many events were carried out.
func (w *World) Steps() uint64 { return w.steps }

// RunFor carries out the events of the given span of simulated time.
func (w *World) RunFor(duration time.Duration) {
	end := w.scheduler.now + duration
	for len(w.scheduler.queue) > 0 && w.scheduler.queue[0].at <= end {
		w.Step()
	}
	w.scheduler.now = end
}

// TraceHash returns a hash of everything that has happened.
func (w *World) TraceHash() uint64 { return w.trace.sum() }

// Violations returns the violations that the oracle has found so far.
func (w *World) Violations() []Violation { return w.oracle.violations }

// Faults returns how often each kind of fault has happened.
func (w *World) Faults() map[string]int { return maps.Clone(w.faults.counts) }

// Close ends all processes.
func (w *World) Close() {
	for _, n := range w.nodes {
		n.process.end()
	}
	w.applies.end()
}

// liveNodes returns the nodes whose process runs and is not paused.
func (w *World) liveNodes() []*node {
	var live []*node
	for _, n := range w.nodes {
		if n.process.alive && !n.process.paused {
			live = append(live, n)
		}
	}
	return live
}

func sortedKeys[Key cmp.Ordered, Value any](items map[Key]Value) []Key {
	return slices.Sorted(maps.Keys(items))
}

// log passes a line to Options.Log, if it is set. The line is not part of the trace.
func (w *World) log(format string, values ...any) {
	if w.options.Log != nil {
		w.options.Log(w.scheduler.now, w.steps, fmt.Sprintf(format, values...))
	}
}

// Elapsed returns how much simulated time has passed.
func (w *World) Elapsed() time.Duration { return w.scheduler.now }

// Machine is a machine on which a node runs.
type Machine = *node

// Nodes returns how many machines there are.
func (w *World) Nodes() int { return len(w.nodes) }

// Node returns the machine with the given index, from 0 to Nodes()-1.
func (w *World) Node(index int) Machine { return w.nodes[index] }
