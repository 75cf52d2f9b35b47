package worker

import "github.com/joomcode/errorx"

var (
	errorsNamespace = errorx.NewNamespace("lab_worker")

	// ErrListen tells that an address could not be listened on.
	ErrListen = errorsNamespace.NewType("listen")
	// ErrAnswer tells that an answer is not the whole answer to its request.
	ErrAnswer = errorsNamespace.NewType("answer")
	// ErrControl tells that the control listener of a worker did not answer.
	ErrControl = errorsNamespace.NewType("control")
)
