package sidecar

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("sidecar")

var (
	// ErrStart is the type of errors for a node that cannot start.
	ErrStart = namespace.NewType("start")
	// ErrPanicked is the type of errors for a node that has stopped since a panic may have left
	// state half changed.
	ErrPanicked = namespace.NewType("panicked")
)
