package sidecar

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/levertide/levertide/internal/forwarding"
	"github.com/levertide/levertide/internal/hosted"
	"github.com/levertide/levertide/internal/pipeline"
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/routing"
	"github.com/levertide/levertide/pkg/snapshot"
)

// configuration holds the version in force. The next one is built completely while the
// old one stays in use, and then replaces it; the version number never decreases.
type configuration struct {
	translate func(content []byte) (Translation, error)
	onInForce func(version uint64, routes int)
	// onOmitted is called for each part of a document that cannot be used.
	onOmitted func(version uint64, fault string)

	mutex sync.Mutex
	// snapshot is the snapshot of the version in force.
	snapshot *snapshot.Snapshot
	current  atomic.Pointer[forwarding.Configuration]
	// hasTenantLimits reports whether any tenant of the version in force has a limit.
	hasTenantLimits atomic.Bool
	// healthPaths are those of the services of the version in force, by name; empty for
	// a service that has none.
	healthPaths atomic.Pointer[map[string]string]
}

// knowsService reports whether the version in force has a service of the given name.
func (c *configuration) knowsService(service string) bool {
	paths := c.healthPaths.Load()
	if paths == nil {
		return false
	}
	_, known := (*paths)[service]
	return known
}

// healthPath returns the path of the health check of a service's workers; empty when there
// is none.
func (c *configuration) healthPath(service string) string {
	paths := c.healthPaths.Load()
	if paths == nil {
		return ""
	}
	return (*paths)[service]
}

// limitsTenants reports whether any tenant has a limit.
func limitsTenants(resources []model.Resource) bool {
	return slices.ContainsFunc(resources, func(r model.Resource) bool { return r.Tenant != nil && r.Tenant.Rate > 0 })
}

// healthPathsOf lists the health paths of services by name.
func healthPathsOf(resources []model.Resource) map[string]string {
	paths := map[string]string{}
	for _, resource := range resources {
		if resource.Service != nil {
			paths[resource.Key.Name] = resource.Service.HealthPath
		}
	}
	return paths
}

// Offer implements hosted.Consumer.
func (c *configuration) Offer(content []byte) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	translation, err := c.translate(content)
	if err != nil {
		return err
	}
	if held := c.current.Load(); held != nil && held.Table.Version() >= translation.Version {
		return nil
	}
	built, err := c.snapshot.Next(translation.Version, translation.Resources)
	if err != nil {
		return hosted.ErrInvalidDocument.Wrap(err, "version %d", translation.Version)
	}
	table, err := routing.Compile(built)
	if err != nil {
		return hosted.ErrInvalidDocument.Wrap(err, "version %d", translation.Version)
	}
	for _, fault := range translation.Omitted {
		c.onOmitted(translation.Version, fault)
	}
	paths := healthPathsOf(translation.Resources)
	c.healthPaths.Store(&paths)
	c.hasTenantLimits.Store(limitsTenants(translation.Resources))
	c.snapshot = built
	c.current.Store(&forwarding.Configuration{
		Table: table, MaximumBody: translation.MaximumBody,
		Callers: pipeline.Limits{
			MaxHeaderBytes: translation.MaximumHead, ReadHeaderTimeout: translation.HeadTimeout, IdleTimeout: translation.IdleTimeout,
		},
	})
	c.onInForce(translation.Version, table.Len())
	return nil
}
