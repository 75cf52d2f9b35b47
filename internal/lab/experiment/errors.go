package experiment

import "github.com/joomcode/errorx"

// errorsNamespace holds the error types of this package.
var errorsNamespace = errorx.NewNamespace("lab_experiment")

// ErrInvalid tells that an experiment file cannot be used.
var ErrInvalid = errorsNamespace.NewType("invalid")
