package hosted

import "sync/atomic"

// Messages counts what a node has sent to other nodes since it started.
type Messages struct {
	// Exchanges are the requests of anti-entropy exchanges, Broadcasts the messages with updates,
	// and Records the node records in those. QuotaRequests are messages about the limits of
	// tenants, Probes those that check whether the nodes that read the store answer.
	Exchanges, Broadcasts, Records, QuotaRequests, Probes uint64
}

// messageCounters counts the messages that a node sends.
type messageCounters struct {
	exchanges, broadcasts, records, quotaRequests, probes atomic.Uint64
}

func (c *messageCounters) read() Messages {
	return Messages{
		Exchanges: c.exchanges.Load(), Broadcasts: c.broadcasts.Load(), Records: c.records.Load(), QuotaRequests: c.quotaRequests.Load(),
		Probes: c.probes.Load(),
	}
}

// Messages returns what this node has sent to others.
func (a *Agent) Messages() Messages { return a.peers.sent.read() }
