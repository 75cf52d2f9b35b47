package daemon

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("daemon")

var (
	// ErrStart tells that a listener or a file that the node needs cannot be opened.
	ErrStart = namespace.NewType("start")
	// ErrTooLarge tells that a version holds more than the node accepts.
	ErrTooLarge = namespace.NewType("too_large")
)
