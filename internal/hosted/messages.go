package hosted

import "sync/atomic"

// Messages counts what a node has sent to other nodes since it started.
type Messages struct {
	// Comparisons are questions whether another node knows the same, Broadcasts
	// messages with news, and Records the node records in those. Borrowings are messages on
	// the limits of tenants, Questions those that ask nodes that read the store whether they
	// are there.
	Comparisons, Broadcasts, Records, Borrowings, Questions uint64
}

// messageCounters counts the messages that a node sends.
type messageCounters struct {
	comparisons, broadcasts, records, borrowings, questions atomic.Uint64
}

func (c *messageCounters) read() Messages {
	return Messages{
		Comparisons: c.comparisons.Load(), Broadcasts: c.broadcasts.Load(), Records: c.records.Load(), Borrowings: c.borrowings.Load(),
		Questions: c.questions.Load(),
	}
}

// Messages returns what this node has sent to others.
func (a *Agent) Messages() Messages { return a.peers.sent.read() }
