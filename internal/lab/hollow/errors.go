package hollow

import "github.com/joomcode/errorx"

// errorsNamespace holds the error types of this package.
var errorsNamespace = errorx.NewNamespace("lab_hollow")

// ErrNode tells that a node could not be started.
var ErrNode = errorsNamespace.NewType("node")

// ErrCommand tells that a command cannot be carried out.
var ErrCommand = errorsNamespace.NewType("command")
