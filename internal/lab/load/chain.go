package load

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/levertide/levertide/internal/lab/worker"
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/retry"
)

const (
	chainLevels   = 6
	chainPerLevel = 2
	chainSlots    = 1000
	// chainDeadline is far above the time of a call through all levels, also on a busy machine
	// (2.1 to 4.2 s at a load of three to four times its processors): a call that times out
	// does not reach the last level and would hide how retries multiply calls.
	chainDeadline    = callTimeout
	chainServiceTime = time.Millisecond
)

// chainCases use a low rate where every request fails, since without bounds on retries one
// call multiplies into hundreds.
var chainCases = []ChainCase{
	{FailedShare: 0.5, RatePerSecond: 20},
	{FailedShare: 1, RatePerSecond: 4},
}

// measureChain makes calls through six services, each of which calls the next, while workers of
// the last one cut connections. It uses data planes inside the lab's process, since levertided has
// no switch that turns the retry budget off.
func measureChain(ctx context.Context, options Options) (*Chain, error) {
	result := &Chain{Levels: chainLevels}
	for _, item := range chainCases {
		item.Bound = 1 + float64(retry.DefaultAllowance)
		var err error
		if item.Budget, err = chainPoint(ctx, options, item, false); err != nil {
			return nil, err
		}
		if item.NoBudget, err = chainPoint(ctx, options, item, true); err != nil {
			return nil, err
		}
		result.Cases = append(result.Cases, item)
	}
	return result, nil
}

func chainPoint(ctx context.Context, options Options, item ChainCase, noBudget bool) (ChainPoint, error) {
	f := newInsideFleet(noBudget)
	c := &chain{fleet: f, rate: item.RatePerSecond, failedShare: item.FailedShare}
	defer c.close()
	if err := c.start(ctx); err != nil {
		return ChainPoint{}, err
	}
	transport := newTransport()
	defer transport.CloseIdleConnections()
	point := c.run(ctx, options, transport)
	fmt.Fprintf(options.Progress, "chain, %g failing, budget off %v: %+v\n", item.FailedShare, noBudget, point)
	return point, nil
}

// chain is a gateway and several workers, each with its node, at each level.
type chain struct {
	rate        float64
	failedShare float64

	fleet   fleet
	gateway node
	levels  [chainLevels][]member
}

func levelService(level int) string { return fmt.Sprintf("level-%d", level) }
func levelHost(level int) string    { return levelService(level) + ".lab" }

func (c *chain) start(ctx context.Context) error {
	var err error
	if c.gateway, err = c.fleet.start(ctx, nodeSpec{id: gatewayID, zone: zoneName(0), gateway: true}); err != nil {
		return err
	}
	var resources []model.Resource
	for level := range chainLevels {
		resources = append(resources, levelResources(level)...)
		for index := range chainPerLevel {
			if err := c.add(ctx, level, index); err != nil {
				return err
			}
		}
	}
	return c.fleet.apply(ctx, resources)
}

func levelResources(level int) []model.Resource {
	return []model.Resource{
		{
			Key: model.Key{Kind: model.KindService, Name: levelService(level)},
			Service: &model.Service{
				Slots: chainSlots, Connections: chainSlots, Queue: chainSlots, Timeout: callTimeout,
			},
		},
		routeTo(levelService(level), levelService(level), levelHost(level), model.RepeatSafeMethods),
	}
}

// add starts a worker and its node; the worker calls the next level through that node.
func (c *chain) add(ctx context.Context, level, index int) error {
	w, err := worker.Start(worker.Config{
		ID: fmt.Sprintf("%s-%d", levelService(level), index), Slots: chainSlots, Connections: chainSlots,
		Service:          worker.Distribution{Median: chainServiceTime},
		CutOnNextFailure: true,
	})
	if err != nil {
		return err
	}
	started, err := c.fleet.start(ctx, nodeSpec{
		id: fmt.Sprintf("node-%d-%d", level, index), zone: zoneName(0),
		service: levelService(level), worker: w.Address(),
	})
	if err != nil {
		w.Close()
		return err
	}
	if level+1 < chainLevels {
		w.SetNext("http://"+started.callerAddress(), levelHost(level+1))
	} else {
		w.SetFaults(worker.Fault{Kind: worker.DieBeforeFirstByte, Probability: c.failedShare})
	}
	c.levels[level] = append(c.levels[level], member{node: started, worker: w})
	return nil
}

func (c *chain) run(ctx context.Context, options Options, transport *http.Transport) ChainPoint {
	top := newTally()
	pacing{rate: c.rate, duration: min(options.Duration, longestStep), seed: options.Seed}.run(ctx,
		func(index int, moment time.Time) {
			request := call{
				id:     fmt.Sprintf("chain-%d", index),
				method: http.MethodGet, host: levelHost(0), path: callerPath,
				target:   c.gateway.callerAddress(),
				deadline: chainDeadline,
			}
			top.add(request.id, request.do(ctx, transport), time.Since(moment))
		})
	seen := executions{}
	for _, item := range c.levels[chainLevels-1] {
		seen.collect(item.worker)
	}
	point := ChainPoint{Top: top.result(nil), Bottom: seen.total()}
	if point.Top.Calls > 0 {
		point.PerCall = float64(point.Bottom) / float64(point.Top.Calls)
		point.Answered = float64(point.Top.Answered) / float64(point.Top.Calls)
	}
	return point
}

func (c *chain) close() {
	c.fleet.close()
	for _, level := range c.levels {
		for _, item := range level {
			item.worker.Close()
		}
	}
}

// failures lists the cases in which retries multiplied calls beyond what the budget permits.
func (c *Chain) failures() []string {
	var failures []string
	for _, item := range c.Cases {
		if item.Budget.PerCall > item.Bound {
			failures = append(failures, fmt.Sprintf("chain: %.2f calls at the last level for one, at most %.0f are permitted", item.Budget.PerCall, item.Bound))
		}
	}
	return failures
}
