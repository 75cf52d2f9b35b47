package topology

// Peer describes one live node for planning.
type Peer struct {
	ID             string
	Region         string
	Zone           string
	ControlAddress string
	// Reader reports whether the node currently reads the platform's store.
	Reader bool
}

// Defaults of Options.
const (
	DefaultFanOut  = 8
	DefaultReaders = 3
	// MaxParents is the highest number of parents that a plan lists. If all of
	// them fail, the node plans again without them.
	MaxParents = 8
)

// Options determine the shape of the tree. All nodes of a mesh must use the same.
type Options struct {
	// FanOut is the highest number of children that a node has inside its zone,
	// and of other zones of its region that a zone relay serves. Zero means
	// DefaultFanOut.
	FanOut int
	// Readers is how many nodes may read the store. Zero means DefaultReaders.
	Readers int
}

func (o Options) withDefaults() Options {
	if o.FanOut <= 0 {
		o.FanOut = DefaultFanOut
	}
	if o.Readers <= 0 {
		o.Readers = DefaultReaders
	}
	return o
}

// Role is a node's level in the tree.
type Role uint8

// The roles, from the widest part of the tree to its root.
const (
	// RoleLeaf serves no other node.
	RoleLeaf Role = iota
	// RoleRelay serves nodes of its own zone.
	RoleRelay
	// RoleZoneRelay serves its zone, and other zones of its region.
	RoleZoneRelay
	// RoleRegionRelay also serves relays of other regions.
	RoleRegionRelay
)

var roleNames = [...]string{"leaf", "relay", "zone-relay", "region-relay"}

// String returns the role's name in lower case.
func (r Role) String() string {
	if int(r) >= len(roleNames) {
		return "unknown"
	}
	return roleNames[r]
}

// NotInApex is the apex index of a node that is not the relay of its zone. The
// apex is the set of the relays of all zones.
const NotInApex = -1

// Assignment is a node's own position in the tree.
type Assignment struct {
	Role Role
	// Rank is the node's position among the members of its zone; 0 is the zone relay.
	Rank int
	// ReaderCandidate reports whether the node should try to acquire a lease to
	// read the store.
	ReaderCandidate bool
	// ApexIndex is the node's position among the relays of all zones, or NotInApex.
	ApexIndex int
	// Parents lists the nodes to pull from, in order of preference.
	Parents []Peer
	// FullScope reports whether the node holds the complete configuration,
	// because others may pull from it.
	FullScope bool
	// mustRead lists the IDs of the parents that may serve this node only while
	// they read the store.
	mustRead []string
}

// MustBeReader reports whether the node may stay with this parent only as long as
// the parent itself reports that it reads the store; otherwise a loop could form.
func (a *Assignment) MustBeReader(parent string) bool {
	for _, id := range a.mustRead {
		if id == parent {
			return true
		}
	}
	return false
}
