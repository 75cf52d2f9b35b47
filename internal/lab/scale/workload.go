package scale

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/levertide/levertide/internal/lab/hollow"
	"github.com/levertide/levertide/pkg/model"
)

// Sizes of the configuration.
const (
	routesPerService = 2
	callsPerService  = 2
	workerSlots      = 6
	workerConns      = 130
	baseQueue        = 12
)

// workload is the configuration as operators have it, and how they change it.
type workload struct {
	random    *rand.Rand
	services  int
	resources map[model.Key]model.Resource
	// added are routes that an earlier change added and a later one may remove.
	added  []string
	serial int
}

// difference is what one change sets and removes.
type difference struct {
	set     []model.Resource
	removed []model.Key
}

// newWorkload returns the base configuration: each service with its routes
// and its secret.
func newWorkload(services int, seed uint64) *workload {
	made := &workload{
		random:    rand.New(rand.NewPCG(seed, seed)),
		services:  services,
		resources: make(map[model.Key]model.Resource),
	}
	for i := range services {
		made.put(made.service(i, baseQueue))
		made.put(made.secret(i))
		for number := range routesPerService {
			made.put(made.route(fmt.Sprintf("%s-%d", serviceName(i), number), i, time.Duration(number+1)*time.Second))
		}
	}
	return made
}

func serviceName(index int) string { return fmt.Sprintf("service-%03d", index) }
func secretName(index int) string  { return fmt.Sprintf("service-%03d-key", index) }

// service returns a service that calls some others.
func (w *workload) service(index, queue int) model.Resource {
	calls := make([]string, 0, callsPerService)
	for step := range callsPerService {
		callee := serviceName((index + (step+1)*7) % w.services)
		if callee != serviceName(index) && !slices.Contains(calls, callee) {
			calls = append(calls, callee)
		}
	}
	slices.Sort(calls)
	return model.Resource{
		Key: model.Key{Kind: model.KindService, Name: serviceName(index)},
		Service: &model.Service{
			Calls: calls, Slots: workerSlots, Connections: workerConns, Queue: queue,
			SlowStart: 5 * time.Second, Timeout: 20 * time.Second,
		},
	}
}

// route returns a route to a service with the service's own credential.
func (w *workload) route(name string, service int, timeout time.Duration) model.Resource {
	return model.Resource{
		Key: model.Key{Kind: model.KindRoute, Name: name},
		Route: &model.Route{
			Match:      model.Match{Host: serviceName(service) + ".mesh.example", PathPrefix: "/" + name},
			Service:    serviceName(service),
			Repeatable: model.RepeatSafeMethods,
			Priority:   model.PriorityNormal,
			Timeout:    timeout,
			Credential: &model.Credential{Secret: secretName(service), Header: "X-Service-Key"},
		},
	}
}

// secretBytes is the size of a secret, of random bytes as real ones are.
const secretBytes = 32

// secret returns a service's secret with a new random value.
func (w *workload) secret(service int) model.Resource {
	value := make([]byte, 0, secretBytes)
	for len(value) < secretBytes {
		value = binary.BigEndian.AppendUint64(value, w.random.Uint64())
	}
	return model.Resource{
		Key:    model.Key{Kind: model.KindSecret, Name: secretName(service)},
		Secret: &model.Secret{Value: base64.StdEncoding.EncodeToString(value)},
	}
}

// put sets one resource.
func (w *workload) put(resource model.Resource) { w.resources[resource.Key] = resource }

// next makes the next change: of a route, of a service, of a secret, a new
// route, or the removal of an added one.
func (w *workload) next() difference {
	w.serial++
	service := w.random.IntN(w.services)
	var changed difference
	switch w.serial % 5 {
	case 0:
		changed = w.removal(service)
	case 1:
		name := fmt.Sprintf("added-%d", w.serial)
		w.added = append(w.added, name)
		changed.set = []model.Resource{w.route(name, service, 3*time.Second)}
	case 2:
		changed.set = []model.Resource{w.secret(service)}
	case 3:
		changed.set = []model.Resource{w.service(service, baseQueue+w.serial)}
	default:
		name := fmt.Sprintf("%s-%d", serviceName(service), 0)
		changed.set = []model.Resource{w.route(name, service, time.Duration(w.serial+5)*time.Second)}
	}
	for _, resource := range changed.set {
		w.put(resource)
	}
	for _, key := range changed.removed {
		delete(w.resources, key)
	}
	return changed
}

// removal removes the oldest added route, or changes a service when there is none.
func (w *workload) removal(service int) difference {
	if len(w.added) == 0 {
		return difference{set: []model.Resource{w.service(service, baseQueue+w.serial)}}
	}
	name := w.added[0]
	w.added = w.added[1:]
	return difference{removed: []model.Key{{Kind: model.KindRoute, Name: name}}}
}

// list returns the whole configuration.
func (w *workload) list() []model.Resource {
	return slices.Collect(maps.Values(w.resources))
}

// truth tells what a version holds, as a difference from its base.
func truth(version, base uint64, changed difference) hollow.Truth {
	told := hollow.Truth{Version: version, Base: base, Removed: changed.removed}
	for _, resource := range changed.set {
		_, digest := model.Encode(resource)
		told.Set = append(told.Set, hollow.TruthEntry{Key: resource.Key, Digest: digest.String()})
	}
	return told
}
