package consul

import (
	"context"
	"net/http"
	"strings"

	"github.com/levertide/levertide/internal/platform/consul/wire"
	"github.com/levertide/levertide/pkg/endpoint"
	"github.com/levertide/levertide/pkg/store"
)

// Machines implements store.MachineList with the health endpoint. A machine in
// maintenance mode is reported as leaving.
func (c *Client) Machines(ctx context.Context) ([]store.Machine, error) {
	call := request{method: http.MethodGet, path: wire.PathHealthService + wire.ServiceName}
	received, err := c.send(ctx, call)
	if err != nil {
		return nil, err
	}
	var entries []wire.ServiceEntry
	if err := received.decode(&entries, call); err != nil {
		return nil, err
	}
	machines := make([]store.Machine, len(entries))
	for i, entry := range entries {
		machines[i] = machineOf(entry)
	}
	return machines, nil
}

func machineOf(entry wire.ServiceEntry) store.Machine {
	meta := entry.Service.Meta
	control, err := endpoint.Parse(meta[wire.MetaControlAddress])
	return store.Machine{
		Node:           entry.Service.ID,
		Region:         meta[wire.MetaRegion],
		Zone:           meta[wire.MetaZone],
		Service:        meta[wire.MetaService],
		ControlAddress: control,
		Invalid:        err,
		Leaving:        inMaintenance(entry.Checks),
	}
}

func inMaintenance(checks []wire.HealthCheck) bool {
	for _, check := range checks {
		maintenance := strings.HasPrefix(check.CheckID, wire.CheckServiceMaintenance) ||
			check.CheckID == wire.CheckNodeMaintenance
		if maintenance && check.Status == wire.StatusCritical {
			return true
		}
	}
	return false
}
