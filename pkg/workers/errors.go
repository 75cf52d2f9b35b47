package workers

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("workers")

// ErrInvalid is the type of errors for heartbeats that cannot be used. What is
// registered stays as it is.
var ErrInvalid = namespace.NewType("invalid").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
