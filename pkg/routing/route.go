package routing

import (
	"net/http"
	"net/textproto"
	"time"

	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/snapshot"
)

// Route is a route of one snapshot with everything that it refers to. It is immutable.
type Route struct {
	Name        string
	Config      *model.Route
	ServiceName string
	Service     *model.Service
	// Timeout bounds a request: the route's own bound, else the service's, else
	// model.DefaultTimeout.
	Timeout time.Duration
	// CredentialHeader is the canonical name of the header that Credential is
	// sent in; empty when the route has no credential.
	CredentialHeader string
	// Credential is nil when the route has none.
	Credential *model.Secret
	// outOfScope marks a route of which only the match is known. Such a route is
	// never returned to callers.
	outOfScope bool
}

func newRoute(name string, config *model.Route, source *snapshot.Snapshot) (*Route, error) {
	service, ok := source.Service(config.Service)
	if !ok {
		return nil, ErrInvalidRoute.New("route %q refers to service %q, which does not exist", name, config.Service)
	}
	route := &Route{
		Name:        name,
		Config:      config,
		ServiceName: config.Service,
		Service:     service,
		Timeout:     timeoutOf(config, service),
	}
	if config.Credential == nil {
		return route, nil
	}
	secret, ok := source.Secret(config.Credential.Secret)
	if !ok {
		return nil, ErrInvalidRoute.New("route %q refers to secret %q, which does not exist", name, config.Credential.Secret)
	}
	route.CredentialHeader = textproto.CanonicalMIMEHeaderKey(config.Credential.Header)
	route.Credential = secret
	return route, nil
}

func timeoutOf(route *model.Route, service *model.Service) time.Duration {
	switch {
	case route.Timeout > 0:
		return route.Timeout
	case service.Timeout > 0:
		return service.Timeout
	default:
		return model.DefaultTimeout
	}
}

// MayRepeat reports whether a request with the given method may be sent again
// after an attempt that may have run.
func (r *Route) MayRepeat(method string) bool {
	switch r.Config.Repeatable {
	case model.RepeatAlways:
		return true
	case model.RepeatNever:
		return false
	default:
		return isSafe(method)
	}
}

func isSafe(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}
