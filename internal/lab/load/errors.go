package load

import "github.com/joomcode/errorx"

var (
	errorsNamespace = errorx.NewNamespace("lab_load")

	// ErrOptions reports invalid options.
	ErrOptions = errorsNamespace.NewType("options")
	// ErrStart reports that nodes or workers did not start or become ready.
	ErrStart = errorsNamespace.NewType("start")
	// ErrFailed reports that the run observed something that must never happen: a
	// wrong answer, a duplicate execution, or a call cut off by a planned stop.
	ErrFailed = errorsNamespace.NewType("failed")
)
