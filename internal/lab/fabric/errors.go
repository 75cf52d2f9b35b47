package fabric

import "github.com/joomcode/errorx"

// errorsNamespace holds the error types of this package.
var errorsNamespace = errorx.NewNamespace("lab_fabric")

// ErrNotInFabric reports that an address belongs to no zone.
var ErrNotInFabric = errorsNamespace.NewType("not_in_fabric")

// ErrListen reports that a relay cannot listen.
var ErrListen = errorsNamespace.NewType("listen")
