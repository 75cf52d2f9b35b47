package sidecar

import "github.com/joomcode/errorx"

// ErrStart is the type of errors for a node that cannot start.
var ErrStart = errorx.NewNamespace("sidecar").NewType("start")
