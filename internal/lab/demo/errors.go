package demo

import "github.com/joomcode/errorx"

// errorsNamespace holds the error types of this package.
var errorsNamespace = errorx.NewNamespace("lab_demo")

// ErrPrograms tells that a program that the demo runs is missing.
var ErrPrograms = errorsNamespace.NewType("programs")

// ErrChecks tells that a check did not hold.
var ErrChecks = errorsNamespace.NewType("checks")

// ErrOutput tells that the result could not be written.
var ErrOutput = errorsNamespace.NewType("output")

// ErrStart tells that a deployment did not come up.
var ErrStart = errorsNamespace.NewType("start")
