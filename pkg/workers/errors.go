package workers

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("workers")

// ErrInvalid is the type of errors for heartbeats that cannot be used. The
// registrations are left unchanged.
var ErrInvalid = namespace.NewType("invalid").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrOtherService and ErrOtherAddress are the types of errors for heartbeats of a service or from an address of
// which no worker is beside the node; they are of type ErrInvalid.
var (
	ErrOtherService = ErrInvalid.NewSubtype("service")
	ErrOtherAddress = ErrInvalid.NewSubtype("address")
)

// ErrNotRunning is the type of errors for the leave of an incarnation that is not known to be the
// running one of its instance. Nothing was recorded: the leave must not be acknowledged.
var ErrNotRunning = namespace.NewType("not_running").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrNotHeld is the type of errors for a leave that is recorded, but that nobody else holds yet: it must not
// be acknowledged, and the worker is to say it again.
var ErrNotHeld = namespace.NewType("not_held").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
