package calls

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/levertide/levertide/internal/lab/experiment"
)

// Options describes the calls of one experiment.
type Options struct {
	// Name prefixes the identifiers of calls.
	Name string
	Load experiment.Load
	Seed uint64
	// Dial opens connections to nodes; nil means a plain dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Targets returns the IP:port of nodes that callers send a kind of call to.
	Targets func(experiment.Call) []string
	// Passed reports whether a step of the timeline has been carried out, which
	// determines the calls whose route is in force.
	Passed func(step string) bool
}

// Limits of calls.
const (
	callTimeout    = 30 * time.Second
	dialTimeout    = 2 * time.Second
	maxInFlight    = 2000
	targetAttempts = 4
	idlePerTarget  = 64
)

// Caller makes calls at a constant rate until its context ends, whether or not
// earlier ones have been answered.
type Caller struct {
	options  Options
	client   *http.Client
	random   *rand.Rand
	started  time.Time
	inFlight atomic.Int64
	running  sync.WaitGroup
	ledger   ledger
}

// New returns a caller that has made no call yet.
func New(options Options) *Caller {
	if options.Dial == nil {
		options.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Caller{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, options.Seed)),
		client: &http.Client{
			Timeout: callTimeout,
			Transport: &http.Transport{
				DialContext:         options.Dial,
				MaxIdleConnsPerHost: idlePerTarget,
				DisableCompression:  true,
			},
		},
	}
}

// Run makes calls until the context ends and returns when all have ended.
func (c *Caller) Run(ctx context.Context) {
	c.started = time.Now()
	interval := time.Duration(float64(time.Second) / c.options.Load.CallsPerSecond)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	defer c.client.CloseIdleConnections()
	defer c.running.Wait()
	for number := 1; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.begin(number)
		}
	}
}

// begin starts one call unless too many are in flight.
func (c *Caller) begin(number int) {
	kind, ok := c.choose()
	if !ok || c.inFlight.Load() >= maxInFlight {
		return
	}
	targets := c.options.Targets(kind)
	c.random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	made := call{
		id:      fmt.Sprintf("%s-%d", c.options.Name, number),
		kind:    kind,
		targets: targets[:min(len(targets), targetAttempts)],
		answer:  answerSizes[c.random.IntN(len(answerSizes))],
	}
	c.inFlight.Add(1)
	c.running.Go(func() {
		defer c.inFlight.Add(-1)
		c.finish(made, time.Now())
	})
}

// answerSizes are the requested sizes of answers in bytes.
var answerSizes = []int64{512, 4 << 10, 32 << 10}

// finish makes the call and records its result.
func (c *Caller) finish(made call, began time.Time) {
	result, reason := made.do(c.client)
	ended := time.Now()
	c.ledger.record(callOutcome{made.id, made.kind.Repeatable, result}, reason,
		int(ended.Sub(c.started)/time.Second), ended.Sub(began))
}

// choose picks a kind of call at random by share, among those whose route is in force.
func (c *Caller) choose() (experiment.Call, bool) {
	var possible []experiment.Call
	total := 0
	for _, kind := range c.options.Load.Calls {
		if c.possible(kind) {
			possible = append(possible, kind)
			total += kind.Share
		}
	}
	if total == 0 {
		return experiment.Call{}, false
	}
	drawn := c.random.IntN(total)
	for _, kind := range possible {
		if drawn -= kind.Share; drawn < 0 {
			return kind, true
		}
	}
	return experiment.Call{}, false
}

// possible reports whether the route of a kind of call is in force everywhere.
func (c *Caller) possible(kind experiment.Call) bool {
	if kind.After != "" && !c.options.Passed(kind.After) {
		return false
	}
	return kind.Until == "" || !c.options.Passed(kind.Until)
}
