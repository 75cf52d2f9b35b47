package snapshot

import "github.com/joomcode/errorx"

// errorNamespace groups the errors of this package; compare with errorx.IsOfType.
var errorNamespace = errorx.NewNamespace("levertide.snapshot")

var (
	// ErrDanglingReference reports that a route names a service or a secret that
	// is not in the same set.
	ErrDanglingReference = errorNamespace.NewType("dangling_reference")
	// ErrDuplicate reports that two resources of a set have the same key.
	ErrDuplicate = errorNamespace.NewType("duplicate")
	// ErrNotDeclarable reports that a resource is of a kind that only
	// Snapshot.Restrict creates.
	ErrNotDeclarable = errorNamespace.NewType("not_declarable")
	// ErrBaseMismatch reports that the content of the snapshot that a delta was to be
	// applied to is not that of the delta's base.
	ErrBaseMismatch = errorNamespace.NewType("base_mismatch")
	// ErrDigestMismatch reports that applying a delta did not give content with its
	// target digest.
	ErrDigestMismatch = errorNamespace.NewType("digest_mismatch")
	// ErrMalformedDelta reports that a payload is not one that Delta.Encode wrote.
	ErrMalformedDelta = errorNamespace.NewType("malformed_delta")
	// ErrTooLarge reports that a payload would take more than MaxPayloadBytes.
	ErrTooLarge = errorNamespace.NewType("too_large")
)
