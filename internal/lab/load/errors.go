package load

import "github.com/joomcode/errorx"

var (
	errorsNamespace = errorx.NewNamespace("lab_load")

	// ErrOptions tells that the options cannot be run.
	ErrOptions = errorsNamespace.NewType("options")
	// ErrStart tells that nodes or workers did not come up.
	ErrStart = errorsNamespace.NewType("start")
	// ErrFailed tells that something measured must not happen at all: a wrong
	// answer, a duplicate execution, or a call cut off by a planned stop.
	ErrFailed = errorsNamespace.NewType("failed")
)
