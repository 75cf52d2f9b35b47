package sidecar

import (
	"github.com/levertide/levertide/internal/telemetry"
	"github.com/levertide/levertide/pkg/fleet"
)

// reading returns what a scrape of the metrics sees.
func (n *Node) reading(config *configuration) func() telemetry.HostedReading {
	return func() telemetry.HostedReading {
		view := n.table.View()
		reading := telemetry.HostedReading{Ready: n.ready(), ReadsStore: view.Self().ReadsStore}
		if current := config.current.Load(); current != nil {
			reading.Version = current.Table.Version()
		}
		for _, node := range view.Nodes() {
			if node.State == fleet.StateLive {
				reading.LiveNodes++
			}
		}
		calls, hops := n.plane.InFlight()
		reading.InFlight = int(calls + hops)
		return reading
	}
}

// Reload takes settings that were read again. What a running node cannot change
// stays as it is.
func (n *Node) Reload(err error) { n.log.SettingsReloaded(err) }
