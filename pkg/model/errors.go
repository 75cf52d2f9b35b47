package model

import "github.com/joomcode/errorx"

// errorNamespace groups the errors of this package.
var errorNamespace = errorx.NewNamespace("levertide.model")

// ErrMalformed means that bytes are not the canonical encoding of a resource.
// Its text never contains any part of the bytes, which may be a secret.
var ErrMalformed = errorNamespace.NewType("malformed")
