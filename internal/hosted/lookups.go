package hosted

import (
	"slices"
	"time"

	"github.com/levertide/levertide/pkg/fleet"
)

// A node that is at another address than the others know of is found through its entry. Entries that
// other programs have written over lead nowhere until their nodes have written them again, so nodes that
// do not reach others read the directory more than once.

const (
	// lookupPause is the mean pause between two searches of the directory by a node that reaches no
	// other; it grows by lookupPerNode for each node known, so that all together search 40 times a
	// second at most. It is also the first pause of those that search for nodes which are lost.
	lookupPause   = time.Second
	lookupPerNode = 25 * time.Millisecond
	// quickLookups is how many searches for lost nodes are made with the first pause, and
	// longestLookupPause bounds the pauses after these, which double: then the checks at intervals are
	// enough.
	quickLookups       = 8
	longestLookupPause = renewInterval
	// retakePause and retakeBurst limit how often a node answers records of others under its name with
	// its own; exchanges between nodes bring it to all of them, too.
	retakePause = time.Second
	retakeBurst = 3
)

// lookups are the searches of one node. The zero value has made none.
type lookups struct {
	next time.Time
	// made is how many were made since all known nodes were reached.
	made int
}

// due reports whether the node is to search now, and counts the search if so.
func (l *lookups) due(now time.Time, wanted, alone bool, nodes int) bool {
	if !wanted {
		*l = lookups{}
		return false
	}
	began := !l.next.IsZero()
	if began && now.Before(l.next) {
		return false
	}
	pause := lookupPause + time.Duration(nodes)*lookupPerNode
	if !alone {
		pause = min(lookupPause<<min(max(l.made-quickLookups, 0), 8), longestLookupPause)
	}
	l.next = now.Add(jittered(pause))
	if began {
		l.made++
	}
	return began
}

// searchLost has the directory searched for nodes that this one does not reach. Those that read the
// store do so on behalf of all that they reach.
func (a *Agent) searchLost(now time.Time) {
	view := a.config.Table.View()
	missing := a.announcer.unreached.Load() || a.peers.anyLost()
	alone := missing && a.reachesNobody()
	wanted := alone || missing && slices.Contains(a.reader.readers(), view.Self().ID)
	if a.lookups.due(now, wanted, alone, view.Count()) {
		a.announcer.search()
	}
}

// reachesNobody reports whether this node reaches no other one.
func (a *Agent) reachesNobody() bool { return len(a.peers.reachablePeers()) == 0 }

// anyLost reports whether a node that has not left is not reached.
func (p *Peers) anyLost() bool {
	return slices.ContainsFunc(p.table.View().Peers(), func(n *fleet.Node) bool { return !p.contacts.Reachable(n.ID) })
}

// search has the announcer's own goroutine read the directory.
func (a *Announcer) search() {
	select {
	case a.searchDue <- struct{}{}:
	default:
	}
}
