package control

import "github.com/joomcode/errorx"

// errorNamespace groups the errors of this package; compare with errorx.IsOfType.
var errorNamespace = errorx.NewNamespace("levertide.control")

var (
	// ErrConfig reports an invalid Config.
	ErrConfig = errorNamespace.NewType("config")
	// ErrFloorUnknown reports that the floor, the lowest version that the node
	// may run, could be learned neither from the store nor from enough peers.
	ErrFloorUnknown = errorNamespace.NewType("floor_unknown")
	// ErrNoStore reports that the node has no store to read.
	ErrNoStore = errorNamespace.NewType("no_store")
	// ErrMalformed reports a malformed or oversized message of a peer.
	ErrMalformed = errorNamespace.NewType("malformed")
)
