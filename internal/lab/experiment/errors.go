package experiment

import "github.com/joomcode/errorx"

// errorsNamespace holds the error types of this package.
var errorsNamespace = errorx.NewNamespace("lab_experiment")

// ErrInvalid reports that an experiment file cannot be read or is not valid.
var ErrInvalid = errorsNamespace.NewType("invalid")
