package dataplane

import "github.com/joomcode/errorx"

var (
	namespace = errorx.NewNamespace("dataplane")

	// ErrInvalidConfig is the type of errors for a Config that cannot be used.
	ErrInvalidConfig = namespace.NewType("invalid_config")

	// The causes for which the context of a call is canceled.
	errDeadline   = namespace.NewType("deadline").ApplyModifiers(errorx.TypeModifierOmitStackTrace).New("call deadline exceeded")
	errCallEnded  = namespace.NewType("call_ended").ApplyModifiers(errorx.TypeModifierOmitStackTrace).New("call has ended")
	errBodyClosed = namespace.NewType("body_closed").ApplyModifiers(errorx.TypeModifierOmitStackTrace).New("read from a closed request body")
	errTooSlow    = namespace.NewType("too_slow").ApplyModifiers(errorx.TypeModifierOmitStackTrace).New("caller sends or receives too slowly")
)
