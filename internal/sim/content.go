package sim

import (
	"errors"
	"fmt"
	"hash/fnv"

	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/snapshot"
)

// Contents of the file sets that operators apply.
const (
	serviceCount = 4
	secretCount  = 3
	routeCount   = 6
	// unsupportedPercent is the share of sets that some nodes reject.
	unsupportedPercent = 15
	// unsupportedMark is the number of slots, modulo markModulo, of the services of
	// such a set.
	unsupportedMark = 13
	markModulo      = 100
	// rejectOneOf is how many nodes there are for each one that rejects such sets.
	rejectOneOf = 3
)

func serviceName(index int) string { return fmt.Sprint("service-", index) }
func secretName(index int) string  { return fmt.Sprint("secret-", index) }

// fileSet is what an operator applies.
type fileSet struct {
	resources   []model.Resource
	digests     map[model.Key]model.Digest
	unsupported bool
}

// newFileSet returns a set that differs from those of all other numbers. Some
// nodes reject an unsupported one.
func newFileSet(r random, number int, unsupported bool) fileSet {
	set := fileSet{digests: make(map[model.Key]model.Digest), unsupported: unsupported}
	mark := number * markModulo
	if set.unsupported {
		mark += unsupportedMark
	}
	for index := range serviceCount {
		service := &model.Service{Slots: mark, Calls: []string{}}
		for callee := range serviceCount {
			if callee != index && r.percent(30) {
				service.Calls = append(service.Calls, serviceName(callee))
			}
		}
		set.add(model.Resource{Key: model.Key{Kind: model.KindService, Name: serviceName(index)}, Service: service})
	}
	for index := range secretCount {
		set.add(model.Resource{
			Key:    model.Key{Kind: model.KindSecret, Name: secretName(index)},
			Secret: &model.Secret{Value: fmt.Sprintf("value-%d-%d", number, index)},
		})
	}
	for index := range routeCount {
		if !r.percent(80) {
			continue
		}
		name := fmt.Sprint("route-", index)
		route := &model.Route{
			Match:   model.Match{Host: "*", PathPrefix: "/" + name},
			Service: serviceName(r.IntN(serviceCount)),
		}
		if r.percent(40) {
			route.Credential = &model.Credential{Secret: secretName(r.IntN(secretCount)), Header: "Authorization"}
		}
		set.add(model.Resource{Key: model.Key{Kind: model.KindRoute, Name: name}, Route: route})
	}
	set.digest()
	return set
}

func (s *fileSet) add(resource model.Resource) { s.resources = append(s.resources, resource) }

func (s *fileSet) digest() {
	for _, resource := range s.resources {
		_, s.digests[resource.Key] = model.Encode(resource)
	}
}

// errUnsupported is the error with which a node rejects an unsupported set.
var errUnsupported = errors.New("the number of slots is not supported here")

// rejectsUnsupported reports whether a node rejects unsupported sets.
func rejectsUnsupported(id string) bool {
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(id))
	return digest.Sum32()%rejectOneOf == 0
}

// validateOn is the validation of a snapshot by the given node.
func validateOn(id string, s *snapshot.Snapshot) error {
	if !rejectsUnsupported(id) {
		return nil
	}
	for _, service := range s.Services() {
		if service.Slots%markModulo == unsupportedMark {
			return errUnsupported
		}
	}
	return nil
}
