package control

import "github.com/joomcode/errorx"

// errorNamespace groups the errors of this package; compare with errorx.IsOfType.
var errorNamespace = errorx.NewNamespace("levertide.control")

var (
	// ErrConfig tells that a Config cannot work.
	ErrConfig = errorNamespace.NewType("config")
	// ErrFloorUnknown tells that neither the store nor enough peers could say
	// from which version on the node may run.
	ErrFloorUnknown = errorNamespace.NewType("floor_unknown")
	// ErrNoStore tells that the node has no store to read.
	ErrNoStore = errorNamespace.NewType("no_store")
	// ErrMalformed tells that a message of a peer is outside its bounds.
	ErrMalformed = errorNamespace.NewType("malformed")
)
