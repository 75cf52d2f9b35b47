package balance

import (
	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/outcome"
)

var (
	namespace = errorx.NewNamespace("balance")

	// ErrNoEndpoint is the type of the error for a service without any endpoint
	// that may be picked. Nothing was sent: it carries outcome.TraitNotRun.
	ErrNoEndpoint = namespace.NewType("no_endpoint", outcome.TraitNotRun).ApplyModifiers(errorx.TypeModifierOmitStackTrace)

	errNone     = ErrNoEndpoint.New("no endpoint is known")
	errUnusable = ErrNoEndpoint.New("every endpoint is leaving, draining or excluded")
)

// IsNoEndpoint reports whether err is of type ErrNoEndpoint.
func IsNoEndpoint(err error) bool {
	return errorx.IsOfType(err, ErrNoEndpoint)
}
