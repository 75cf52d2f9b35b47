package load

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/levertide/levertide/internal/lab/worker"
)

const (
	faultRate     = 200 // calls a second, unrepeatable and repeatable ones together
	faultShare    = 0.1
	faultDeadline = time.Second
)

// faultKinds are injected one after another.
var faultKinds = []worker.FaultKind{
	worker.DieBeforeFirstByte, worker.DieAfterExecuting, worker.DieMidAnswer,
	worker.Hang, worker.Shed, worker.ServerError,
}

// measureFaults makes calls while a share of the requests at every worker fails.
func measureFaults(ctx context.Context, options Options) ([]FaultPoint, error) {
	config := worker.Config{Slots: options.Slots, Service: options.Service}
	m, err := startMesh(ctx, options, config, serviceShape{slots: options.Slots, queue: 2 * options.Slots})
	if err != nil {
		return nil, err
	}
	defer m.close()
	transport := newTransport()
	defer transport.CloseIdleConnections()
	var points []FaultPoint
	for _, kind := range faultKinds {
		point := m.underFault(ctx, options, transport, kind)
		points = append(points, point)
		fmt.Fprintf(options.Progress, "fault %s: unrepeatable %+v, repeatable %+v\n", kind, point.Once, point.Any)
	}
	return points, nil
}

func (m *mesh) underFault(ctx context.Context, options Options, transport *http.Transport, kind worker.FaultKind) FaultPoint {
	for _, w := range m.workers() {
		w.SetFaults(worker.Fault{Kind: kind, Probability: faultShare})
		defer w.SetFaults()
	}
	unrepeatable, repeatable := newTally(), newTally()
	pacing{rate: faultRate, duration: min(options.Duration, longestStep), seed: options.Seed}.run(ctx,
		func(index int, moment time.Time) {
			c := call{
				id:     fmt.Sprintf("%s-any-%d", kind, index),
				method: http.MethodGet, host: serviceHost, path: callerPath,
				target: m.gateway.callerAddress(), deadline: faultDeadline,
			}
			into := repeatable
			if index%2 == 0 {
				c.id = fmt.Sprintf("%s%s%d", kind, unrepeatableMark, index)
				c.method, c.host, c.size = http.MethodPost, unrepeatableHost, smallBodyBytes
				into = unrepeatable
			}
			into.add(c.id, c.do(ctx, transport), time.Since(moment))
		})
	seen := executionsOf(m.workers())
	return FaultPoint{Fault: kind, Share: faultShare, Once: unrepeatable.result(seen), Any: repeatable.result(seen)}
}
