package daemon

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("daemon")

var (
	// ErrStart reports that a listener that the node needs cannot be opened.
	ErrStart = namespace.NewType("start")
	// ErrPanicked reports that the node has stopped since a panic may have left state half changed.
	ErrPanicked = namespace.NewType("panicked")
)
