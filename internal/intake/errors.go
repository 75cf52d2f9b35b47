package intake

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("intake")

// ErrFull is the type of errors for memory that was not free in time.
var ErrFull = namespace.NewType("full").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
