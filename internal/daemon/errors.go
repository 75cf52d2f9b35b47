package daemon

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("daemon")

// ErrStart tells that a listener or a file that the node needs cannot be opened.
var ErrStart = namespace.NewType("start")
