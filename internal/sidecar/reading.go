package sidecar

import (
	"github.com/levertide/levertide/internal/telemetry"
	"github.com/levertide/levertide/pkg/fleet"
)

// reading returns what a scrape of the metrics sees.
func (n *Node) reading() telemetry.HostedReading {
	view := n.table.View()
	reading := telemetry.HostedReading{Ready: n.ready(), ReadsStore: view.Self().ReadsStore, Version: n.Version(), Messages: n.agent.Messages()}
	for _, node := range view.Nodes() {
		if node.State == fleet.StateLive {
			reading.LiveNodes++
		}
	}
	calls, hops := n.plane.InFlight()
	reading.InFlight = int(calls + hops)
	load := n.plane.WorkerLoad()
	reading.Running, reading.Waiting, reading.Slots = load.Running, load.Waiting, load.Slots
	transfers := n.plane.Transfers()
	reading.Transfers, reading.WaitingTransfers = transfers.Running, transfers.Waiting
	return reading
}

// Reload takes settings that were read again. What a running node cannot change
// stays as it is.
func (n *Node) Reload(err error) { n.log.SettingsReloaded(err) }

// Version returns the version in force; zero when there is none.
func (n *Node) Version() uint64 {
	if current := n.config.current.Load(); current != nil {
		return current.Table.Version()
	}
	return 0
}
