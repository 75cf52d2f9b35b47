package baseline

import "github.com/joomcode/errorx"

// errorsNamespace holds the error types of this package.
var errorsNamespace = errorx.NewNamespace("lab_baseline")

// ErrBaseline tells that a baseline could not be run.
var ErrBaseline = errorsNamespace.NewType("failed")
