package daemon

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("daemon")

// ErrStart reports that a listener that the node needs cannot be opened.
var ErrStart = namespace.NewType("start")
