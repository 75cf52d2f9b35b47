package forwarding

import (
	"context"
	"time"

	"github.com/levertide/levertide/pkg/outcome"
)

// attempts offers the call to workers until one has answered or no further offer is allowed.
// While the node starts and knows no worker that could run the call, the call waits.
func (c *call) attempts(ctx context.Context) (*answer, error) {
	service := c.state.pickService(c.route)
	c.report.Route, c.report.Service = c.route.Name, service
	destination := c.plane.destination(service)
	if !c.repeat {
		// The call of a repeated run was counted as a first attempt in the earlier run: counting
		// it again would allow retries beyond the limit that holds over all nodes.
		destination.budget.AddFirstAttempt(c.began)
	} else if !c.spend(destination, repeatedCallShare) {
		return nil, outcome.WithRetryAfter(outcome.Overloaded, defaultRetryAfter)
	}
	version := c.plane.steering.Load().chooseVersion(service)
	work, _ := c.state.expected()
	pauses := c.plane.startPauses(c.began, c.end, work)
	for {
		known, _ := destination.known()
		offers := offers{call: c, destination: destination, latestStart: c.latestStart(), version: version}
		result, err := offers.run(ctx)
		c.report.Offers, c.report.Arrivals = c.report.Offers+offers.made, offers.arrivals
		if err == nil {
			return result, nil
		}
		if offers.arrivals > 0 || !c.body.repeatable() || !c.awaitWorkers(ctx, service, known, err, &pauses) {
			c.report.BudgetLeft = destination.budget.Left(time.Now())
			return nil, err
		}
		destination = c.plane.destination(service)
	}
}
