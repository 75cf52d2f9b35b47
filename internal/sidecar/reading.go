package sidecar

import (
	"time"

	"github.com/levertide/levertide/internal/settings"
	"github.com/levertide/levertide/internal/telemetry"
	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/quarantine"
)

// reading returns the state of the node that a scrape of the metrics shows.
func (n *Node) reading() telemetry.HostedReading {
	view := n.table.View()
	reading := telemetry.HostedReading{Ready: n.ready(), ReadsStore: view.Self().ReadsStore, ReadsForAll: n.agent.ReadsForAll(), Version: n.Version(), Messages: n.agent.Messages(), StoreRestores: n.agent.StoreRestores(), IgnoredCalls: n.agent.IgnoredCalls(), Refusals: n.agent.Refusals()}
	reading.LiveNodes = len(n.LiveNodes())
	calls, hops := n.plane.InFlight()
	reading.InFlight = int(calls + hops)
	load := n.plane.WorkerLoad()
	reading.Running, reading.Waiting, reading.Slots = load.Running, load.Waiting, load.Slots
	reading.Slowness = load.Slowness
	reading.LimitedWorkers, reading.LimitRefusals = n.plane.LimitedWorkers(), n.plane.LimitRefusals()
	transfers := n.plane.Transfers()
	reading.Transfers, reading.WaitingTransfers = transfers.Running, transfers.Waiting
	reading.RefusedTransfers = n.plane.RefusedTransfers()
	reading.Quarantined, reading.Suspected = len(n.quarantine.Verdicts(time.Now())), n.quarantine.Suspects()
	reading.Intake = n.Intake()
	reading.Quotas = n.quotas.Reading()
	return reading
}

// Panics returns how many panics the node has contained, by the kind of work.
func (n *Node) Panics() map[contain.Kind]uint64 { return n.panics.Read() }

// LiveNodes returns the identifiers of the nodes that this node takes to be live, itself among
// them, ordered.
func (n *Node) LiveNodes() []string {
	var ids []string
	for _, node := range n.table.View().Nodes() {
		if node.State == fleet.StateLive {
			ids = append(ids, node.ID)
		}
	}
	return ids
}

// Reload applies the settings that load returns, or logs the error with which that failed.
// A running node can change only the requests whose quarantine is lifted; all else stays
// as it is.
func (n *Node) Reload(load func() (settings.Settings, error)) {
	var s settings.Settings
	err := contain.Read("settings", n.panics.Report, func() (err error) {
		s, err = load()
		return err
	})
	n.log.SettingsReloaded(err)
	if err != nil {
		return
	}
	contain.Run(contain.Task, "settings", n.panics.Report, func() { n.liftQuarantine(s) })
}

func (n *Node) liftQuarantine(s settings.Settings) {
	var lifted []quarantine.Fingerprint
	for _, text := range s.LiftQuarantine {
		if f, ok := quarantine.ParseFingerprint([]byte(text)); ok {
			lifted = append(lifted, f)
		}
	}
	n.agent.Lift(lifted)
}

// Version returns the version in force; zero when there is none.
func (n *Node) Version() uint64 {
	if current := n.config.current.Load(); current != nil {
		return current.Table.Version()
	}
	return 0
}
