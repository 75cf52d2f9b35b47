package snapshot

import "github.com/joomcode/errorx"

// errorNamespace groups the errors of this package; compare with errorx.IsOfType.
var errorNamespace = errorx.NewNamespace("levertide.snapshot")

var (
	// ErrDanglingReference tells that a route names a service or a secret that
	// is not in the same set.
	ErrDanglingReference = errorNamespace.NewType("dangling_reference")
	// ErrDuplicate tells that two resources of a set have the same key.
	ErrDuplicate = errorNamespace.NewType("duplicate")
	// ErrNotDeclarable tells that a resource is of a kind that only a
	// restriction makes.
	ErrNotDeclarable = errorNamespace.NewType("not_declarable")
	// ErrBaseMismatch tells that a delta starts from other content than the
	// snapshot that it was to be applied to.
	ErrBaseMismatch = errorNamespace.NewType("base_mismatch")
	// ErrDigestMismatch tells that applying a delta did not give the content
	// that it promised.
	ErrDigestMismatch = errorNamespace.NewType("digest_mismatch")
	// ErrMalformedDelta tells that a payload is not one that Delta.Encode wrote.
	ErrMalformedDelta = errorNamespace.NewType("malformed_delta")
	// ErrTooLarge tells that a payload would take more than MaxPayloadBytes.
	ErrTooLarge = errorNamespace.NewType("too_large")
)
