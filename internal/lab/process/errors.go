package process

import "github.com/joomcode/errorx"

// errorsNamespace holds the error types of this package.
var errorsNamespace = errorx.NewNamespace("lab_process")

// ErrStart reports that a program could not be started.
var ErrStart = errorsNamespace.NewType("start")

// ErrUsage reports that the usage of a process could not be read.
var ErrUsage = errorsNamespace.NewType("usage")
