package routing

import "github.com/joomcode/errorx"

var (
	namespace = errorx.NewNamespace("routing")

	// ErrInvalidRoute is the type of errors for a route whose match cannot be
	// compiled, or whose service or secret is missing.
	ErrInvalidRoute = namespace.NewType("invalid_route")
	// ErrAmbiguousRoute is the type of errors for two routes that match the same
	// requests with the same precedence.
	ErrAmbiguousRoute = namespace.NewType("ambiguous_route")
)
