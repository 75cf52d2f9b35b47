package dataplane

import (
	"sync/atomic"

	"github.com/levertide/levertide/pkg/balance"
	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/retry"
)

// destination holds the balancer and the retry budget for the workers of one service.
type destination struct {
	name     string
	balancer *balance.Balancer
	budget   *retry.Budget

	updating contain.Mutex
	view     atomic.Pointer[membership.View]
}

// destinations holds one destination for each service ever called.
type destinations struct {
	make  func(name string) *destination
	mutex contain.Mutex
	known map[string]*destination
}

func (d *destinations) get(name string) *destination {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if found, ok := d.known[name]; ok {
		return found
	}
	if d.known == nil {
		d.known = map[string]*destination{}
	}
	made := d.make(name)
	d.known[name] = made
	return made
}

func (p *Plane) newDestination(name string) *destination {
	return &destination{
		name:     name,
		balancer: balance.New(p.config.Balance),
		budget:   retry.NewBudget(p.config.Budget),
	}
}

// refreshMembers brings a destination and the connections to other nodes up to
// date with the directory.
func (p *Plane) refreshMembers(d *destination) {
	d.refresh(p.config.Directory)
	p.peers.retireUnlisted(p.config.Directory())
}

// refresh updates the members in the balancer when the directory has changed.
func (d *destination) refresh(directory func() *membership.View) {
	view := directory()
	if view == nil || view == d.view.Load() {
		return
	}
	d.updating.Lock()
	defer d.updating.Unlock()
	view = directory()
	if view == d.view.Load() {
		return
	}
	d.balancer.Update(endpointsOf(view, d.name))
	d.view.Store(view)
}

func endpointsOf(view *membership.View, service string) []balance.Endpoint {
	members := view.ByService(service)
	endpoints := make([]balance.Endpoint, 0, len(members))
	for _, member := range members {
		if member.CallAddress == "" {
			continue // It takes no calls.
		}
		endpoints = append(endpoints, balance.Endpoint{
			ID:          member.ID,
			Zone:        member.Zone,
			Region:      member.Region,
			Address:     member.CallAddress,
			Leaving:     member.State != membership.StateLive,
			Incarnation: member.Incarnation,
		})
	}
	return endpoints
}
