package observe

import "github.com/joomcode/errorx"

// errorsNamespace holds the error types of this package.
var errorsNamespace = errorx.NewNamespace("lab_observe")

// ErrNotReached reports that nodes did not reach a state in time.
var ErrNotReached = errorsNamespace.NewType("not_reached")
