package scale

import "github.com/joomcode/errorx"

// errorsNamespace holds the error types of this package.
var errorsNamespace = errorx.NewNamespace("lab_scale")

// ErrSize tells that a size cannot be emulated.
var ErrSize = errorsNamespace.NewType("size")

// ErrHollow tells that a process of hollow nodes failed.
var ErrHollow = errorsNamespace.NewType("hollow")

// ErrApply tells that a version was not committed.
var ErrApply = errorsNamespace.NewType("apply")

// ErrOutput tells that the result could not be written.
var ErrOutput = errorsNamespace.NewType("output")

// ErrViolations tells that the run found violations.
var ErrViolations = errorsNamespace.NewType("violations")
