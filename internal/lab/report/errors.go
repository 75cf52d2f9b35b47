package report

import "github.com/joomcode/errorx"

// errorsNamespace holds the error types of this package.
var errorsNamespace = errorx.NewNamespace("lab_report")

// ErrInput reports that the directory of results cannot be read or holds none.
var ErrInput = errorsNamespace.NewType("input")

// ErrOutput reports that a plot or the page could not be written.
var ErrOutput = errorsNamespace.NewType("output")
