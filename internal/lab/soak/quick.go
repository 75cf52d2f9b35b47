package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/levertide/levertide/internal/settings"
	"github.com/levertide/levertide/pkg/model"
)

const (
	// emptyService is a service without workers, to which routes move for a time.
	emptyService = "empty"
	// movingRouteCount is how many routes come and go; every second one lets requests run more than once.
	movingRouteCount = 6
	// movingPrefix begins the ids of the requests for these routes.
	movingPrefix = "moving-"

	// Versions in quick succession come for shortestQuick to longestQuick, each after a pause.
	shortestQuick      = time.Second
	longestQuick       = 4 * time.Second
	shortestQuickPause = 40 * time.Millisecond
	longestQuickPause  = 160 * time.Millisecond
	// quickCallers send requests with bodies meanwhile.
	quickCallers = 4
	// reloadShare is the share of these versions with which a node reads its settings again.
	reloadShare = 0.3
	// longestBodyPause bounds the pause within a body.
	longestBodyPause = 300 * time.Millisecond
)

// bodyLengths are the classes of lengths of bodies, in bytes: each body is of one of them, or up to half
// as long.
var bodyLengths = []int{0, 1, 100, 4 << 10, 32 << 10, 64<<10 + 1, 300 << 10, 1 << 20}

// movingPath returns the prefix of a route that comes and goes. While one that lets requests run once
// is gone, the lasting route takes them.
func movingPath(n int) string {
	if n%2 == 0 {
		return fmt.Sprintf("/moving-%d/", n)
	}
	return fmt.Sprintf("%smoving-%d/", oncePrefix, n)
}

// movingRoutes returns the routes that come and go, with the service without workers.
func movingRoutes(services []string) []model.Resource {
	resources := []model.Resource{{Key: model.Key{Kind: model.KindService, Name: emptyService}, Service: &model.Service{}}}
	for n, service := range services {
		if service == "" {
			continue
		}
		repeatable := model.RepeatNever
		if n%2 == 0 {
			repeatable = model.RepeatAlways
		}
		moving := route(movingPath(n), repeatable)
		moving.Route.Service = service
		resources = append(resources, moving)
	}
	return resources
}

// write writes the next document, which differs from the one before as the change says.
func (f *faults) write(change func(d *document)) {
	f.writing.Lock()
	defer f.writing.Unlock()
	next := document{Version: f.version, Moving: slices.Clone(f.moving)}
	change(&next)
	f.version, f.moving = next.Version, next.Moving
	f.store.Put(next.encode())
	f.ledger.countDocument()
}

// quickVersions writes versions in quick succession, in which routes go, move and come back, while
// callers send requests with bodies of all lengths, and nodes read their settings again.
func (f *faults) quickVersions(ctx context.Context) {
	random := rand.New(rand.NewPCG(f.added.Uint64(), 0))
	duration := shortestQuick + time.Duration(random.Int64N(int64(longestQuick-shortestQuick)))
	f.quick++
	name := fmt.Sprintf("%d-%d", f.options.Seed, f.quick)
	f.options.Log("versions in quick succession for %v", duration)
	bounded, cancel := context.WithTimeout(ctx, duration)
	var callers sync.WaitGroup
	for n := range quickCallers {
		from := rand.New(rand.NewPCG(random.Uint64(), uint64(n)))
		callers.Go(func() { f.callWithBodies(bounded, from, fmt.Sprintf("%s-%d", name, n)) })
	}
	f.running.Go(func() {
		defer cancel()
		for bounded.Err() == nil {
			f.write(func(d *document) { moveRoutes(d, random) })
			if random.Float64() < reloadShare {
				f.reload(f.machines[random.IntN(len(f.machines))], random)
			}
			wait(bounded, shortestQuickPause+time.Duration(random.Int64N(int64(longestQuickPause-shortestQuickPause))))
		}
		callers.Wait()
	})
}

// moveRoutes changes some routes in the next version.
func moveRoutes(d *document, random *rand.Rand) {
	d.Version += 1 + uint64(random.IntN(3))
	if len(d.Moving) == 0 {
		d.Moving = slices.Repeat([]string{serviceName}, movingRouteCount)
	}
	for range 1 + random.IntN(movingRouteCount) {
		d.Moving[random.IntN(movingRouteCount)] = []string{"", serviceName, serviceName, emptyService}[random.IntN(4)]
	}
}

// reload has a node read its settings again.
func (f *faults) reload(m *machine, random *rand.Rand) {
	lifted := fmt.Sprintf("%016x%016x", random.Uint64(), random.Uint64())
	m.currentLife().node.Reload(func() (settings.Settings, error) { return settings.Settings{LiftQuarantine: []string{lifted}}, nil })
}

// callWithBodies sends requests with bodies to random machines, also on routes that come and go.
func (f *faults) callWithBodies(ctx context.Context, random *rand.Rand, name string) {
	client := newClient(f.options.Network.Callers(), 2*callBound)
	defer client.CloseIdleConnections()
	for number := 0; ctx.Err() == nil; number++ {
		q := drawMessage(random, fmt.Sprintf("%s%s-%d", movingPrefix, name, number))
		f.ledger.recordCall(q.id, q.method == http.MethodGet)
		status, body, err := q.send(context.WithoutCancel(ctx), client, f.machines[random.IntN(len(f.machines))])
		if err != nil {
			status = 0
			time.Sleep(callerPause)
		}
		f.ledger.recordOutcome(q.id, status, body)
	}
}

// drawMessage draws a request: with a body it runs at most once.
func drawMessage(random *rand.Rand, id string) message {
	length := bodyLengths[random.IntN(len(bodyLengths))]
	length += random.IntN(length/2 + 1)
	q := message{method: http.MethodPost, id: id, path: oncePrefix + id, body: []byte(strings.Repeat("b", length)), chunked: random.IntN(2) == 0}
	if random.IntN(4) == 0 {
		q.pause = time.Duration(random.Int64N(int64(longestBodyPause)))
	}
	if random.IntN(2) == 0 {
		n := random.IntN(movingRouteCount)
		q.path = movingPath(n) + id
		if n%2 == 0 {
			q.method, q.body = http.MethodGet, nil
		}
	}
	q.key = keyOf(q.path, q.id)
	return q
}
