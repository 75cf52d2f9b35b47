package workers

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("workers")

// ErrInvalid is the type of errors for heartbeats that cannot be used. The
// registrations are left unchanged.
var ErrInvalid = namespace.NewType("invalid").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
