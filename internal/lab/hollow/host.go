package hollow

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/levertide/levertide/internal/control"
	"github.com/levertide/levertide/internal/lab/fabric"
)

// host runs the nodes of one process.
type host struct {
	truths  *truths
	pending chan inForce

	mutex  sync.Mutex
	around surroundings
	nodes  map[string]*node
	order  []string
	since  time.Time
}

// inForce is a version that a node has begun to run.
type inForce struct {
	node string
}

// pendingChecks is how many checks may wait.
const pendingChecks = 1 << 16

// Run carries out commands until the input ends. Events go to errorOutput.
func Run(ctx context.Context, input io.Reader, output, errorOutput io.Writer) error {
	running := &host{
		truths:  newTruths(),
		pending: make(chan inForce, pendingChecks),
		nodes:   make(map[string]*node),
		since:   time.Now(),
	}
	running.around = surroundings{
		shared: control.NewShared(),
		events: &lineWriter{writer: errorOutput},
		inForce: func(node string, _ uint64) {
			running.pending <- inForce{node}
		},
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go running.tick(ctx)
	go running.check(ctx)
	return running.serve(input, output)
}

// serve answers each command in turn.
func (h *host) serve(input io.Reader, output io.Writer) error {
	commands := json.NewDecoder(input)
	replies := json.NewEncoder(output)
	for {
		var command Request
		if err := commands.Decode(&command); err != nil {
			if err == io.EOF {
				return nil
			}
			return ErrCommand.Wrap(err, "cannot read the command")
		}
		if err := replies.Encode(h.do(command)); err != nil {
			return ErrCommand.Wrap(err, "cannot write the reply")
		}
	}
}

// do carries out one command.
func (h *host) do(command Request) Reply {
	var err error
	switch {
	case command.Setup != nil:
		h.setUp(*command.Setup)
	case command.Start != nil:
		err = h.start(*command.Start)
	case command.Kill != nil:
		h.kill(*command.Kill)
	case command.Leave != nil:
		h.leave(*command.Leave)
	case command.Cut != nil:
		for _, pair := range command.Cut.Pairs {
			h.around.links.Cut(pair.A, pair.B)
		}
	case command.Heal != nil:
		h.around.links.HealAll()
	case command.Truth != nil:
		h.truths.learn(*command.Truth)
	case command.Sample != nil:
		return Reply{Sample: h.sample()}
	default:
		err = ErrCommand.New("the command has no action")
	}
	if err != nil {
		return Reply{Error: err.Error()}
	}
	return Reply{}
}

// setUp takes what all nodes have in common.
func (h *host) setUp(setup Setup) {
	links := fabric.NewLinks(0)
	for _, pair := range setup.Delays {
		links.SetDelay(pair.A, pair.B, pair.Delay)
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.around.links = links
	h.around.storeAddress = setup.StoreAddress
}

// start starts nodes one after the other.
func (h *host) start(start Start) error {
	for _, spec := range start.Nodes {
		if err := h.startOne(spec); err != nil {
			return err
		}
		time.Sleep(spec.StartGap)
	}
	return nil
}

// startOne starts one node.
func (h *host) startOne(spec NodeSpec) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	known, ok := h.nodes[spec.ID]
	if !ok {
		known = &node{spec: spec, traffic: control.NewTraffic()}
		h.nodes[spec.ID] = known
		h.order = append(h.order, spec.ID)
	}
	if known.engine != nil {
		return ErrNode.New("%s runs already", spec.ID)
	}
	known.spec = spec
	return known.start(h.around)
}

// take returns the nodes named and removes their engines from the view of
// ticks and checks while they end.
func (h *host) take(names []string) []*node {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var taken []*node
	for _, name := range names {
		if known, ok := h.nodes[name]; ok && known.engine != nil {
			ending := *known
			taken = append(taken, &ending)
			known.engine = nil
		}
	}
	return taken
}

// kill ends nodes at once, all together.
func (h *host) kill(kill Kill) {
	endAll(h.take(kill.Nodes), (*node).crash)
}

// leave ends nodes as planned, all together.
func (h *host) leave(leave Leave) {
	endAll(h.take(leave.Nodes), func(ending *node) { ending.leave(leave.After) })
}

// endAll ends nodes together and waits for all.
func endAll(nodes []*node, end func(*node)) {
	var ending sync.WaitGroup
	for _, one := range nodes {
		ending.Go(func() { end(one) })
	}
	ending.Wait()
}

// tick collects every node's bytes once a second.
func (h *host) tick(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.collect()
		}
	}
}

// collect adds the second that has just ended to every series.
func (h *host) collect() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, known := range h.nodes {
		known.series.tick(known.traffic, known.engine != nil)
	}
}

// check checks what nodes run whenever one has begun to run a version.
func (h *host) check(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case begun := <-h.pending:
			h.checkNode(begun.node)
		}
	}
}

// checkNode checks what one node runs now.
func (h *host) checkNode(name string) {
	h.mutex.Lock()
	known, ok := h.nodes[name]
	var engine *control.Node
	if ok {
		engine = known.engine
	}
	h.mutex.Unlock()
	if engine == nil {
		return
	}
	if running := engine.Current(); running != nil {
		h.truths.check(name, running)
	}
}

// sample hands over what was measured since the last sample.
func (h *host) sample() *Series {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	taken := &Series{Start: h.since}
	h.since = time.Now()
	taken.Violations, taken.Checked = h.truths.take()
	for _, name := range h.order {
		taken.Nodes = append(taken.Nodes, h.nodes[name].sample())
	}
	return taken
}

// sample returns one node's series and state.
func (n *node) sample() NodeSeries {
	bytes, roles := n.series.take()
	taken := NodeSeries{ID: n.spec.ID, Bytes: bytes, Roles: roles, Alive: n.engine != nil}
	if n.engine == nil {
		return taken
	}
	taken.Ready, taken.Reason = n.engine.Readiness()
	taken.Parent = n.engine.Tree().Parent
	if running := n.engine.Current(); running != nil {
		taken.InForce = running.Version()
	}
	return taken
}

// lineWriter writes each line whole, whoever writes it.
type lineWriter struct {
	mutex  sync.Mutex
	writer io.Writer
}

// Write writes one line.
func (w *lineWriter) Write(line []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.writer.Write(line)
}
