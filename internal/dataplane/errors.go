package dataplane

import "github.com/joomcode/errorx"

var (
	namespace = errorx.NewNamespace("dataplane")

	// ErrInvalidConfig is the type of errors for a Config that cannot be used.
	ErrInvalidConfig = namespace.NewType("invalid_config")

	// The causes for which the context of a call is canceled.
	errDeadline   = namespace.NewType("deadline").ApplyModifiers(errorx.TypeModifierOmitStackTrace).New("the time for the call is over")
	errCallEnded  = namespace.NewType("call_ended").ApplyModifiers(errorx.TypeModifierOmitStackTrace).New("the call has ended")
	errBodyClosed = namespace.NewType("body_closed").ApplyModifiers(errorx.TypeModifierOmitStackTrace).New("the body is closed")
	errTooSlow    = namespace.NewType("too_slow").ApplyModifiers(errorx.TypeModifierOmitStackTrace).New("the caller is too slow")
)
