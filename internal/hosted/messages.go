package hosted

import "sync/atomic"

// Messages counts what a node has sent to other nodes since it started.
type Messages struct {
	// Exchanges are the requests of anti-entropy exchanges, Broadcasts the messages with updates,
	// and Records the node records in those. QuotaRequests are messages about the limits of
	// tenants, Probes those that check whether the nodes that read the store answer. Misdirected are
	// those of any kind that another node than the one addressed has answered.
	Exchanges, Broadcasts, Records, QuotaRequests, Probes, Misdirected uint64
}

// messageCounters counts the messages that a node sends.
type messageCounters struct {
	exchanges, broadcasts, records, quotaRequests, probes, misdirected atomic.Uint64
}

func (c *messageCounters) read() Messages {
	return Messages{
		Exchanges: c.exchanges.Load(), Broadcasts: c.broadcasts.Load(), Records: c.records.Load(), QuotaRequests: c.quotaRequests.Load(),
		Probes: c.probes.Load(), Misdirected: c.misdirected.Load(),
	}
}

// Messages returns what this node has sent to others.
func (a *Agent) Messages() Messages { return a.peers.sent.read() }
