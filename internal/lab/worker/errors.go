package worker

import "github.com/joomcode/errorx"

var (
	errorsNamespace = errorx.NewNamespace("lab_worker")

	// ErrListen reports that a listener could not be opened on an address.
	ErrListen = errorsNamespace.NewType("listen")
	// ErrAnswer reports that an answer is not the complete answer to its request.
	ErrAnswer = errorsNamespace.NewType("answer")
	// ErrControl reports that a call to the control listener of a worker failed.
	ErrControl = errorsNamespace.NewType("control")
)
