package demo

import "github.com/joomcode/errorx"

// errorsNamespace holds the error types of this package.
var errorsNamespace = errorx.NewNamespace("lab_demo")

// ErrPrograms reports that a program that the demo runs is missing.
var ErrPrograms = errorsNamespace.NewType("programs")

// ErrChecks reports that a check did not hold.
var ErrChecks = errorsNamespace.NewType("checks")

// ErrOutput reports that the result could not be written.
var ErrOutput = errorsNamespace.NewType("output")

// ErrStart reports invalid arguments of the run command, or a deployment whose first file set was
// not accepted.
var ErrStart = errorsNamespace.NewType("start")
