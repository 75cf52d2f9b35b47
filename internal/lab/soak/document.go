package soak

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/levertide/levertide/internal/hosted"
	"github.com/levertide/levertide/internal/sidecar"
	"github.com/levertide/levertide/pkg/model"
)

const (
	hostName   = "mesh.example"
	safePrefix = "/safe/"
	oncePrefix = "/once/"
	callBound  = 2 * time.Second
	idleRoutes = 50
	// healthPath is the path at which a worker says who it is.
	healthPath = "/health"
)

// document is the configuration document that the soak's operators write.
type document struct {
	Version uint64
	// Moving are the services of the routes that come and go; empty while one is gone.
	Moving []string `json:",omitempty"`
	// Odd makes a node panic that builds the version.
	Odd bool `json:",omitempty"`
}

// isRepeatable reports whether the route of a path lets requests run more than once.
func isRepeatable(path string) bool { return !strings.HasPrefix(path, oncePrefix) }

func (d document) encode() []byte {
	encoded, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	return encoded
}

// isOdd reports whether a document is one of a version that makes nodes panic.
func isOdd(content []byte) bool {
	var parsed document
	return json.Unmarshal(content, &parsed) == nil && parsed.Odd
}

// versionPrefix returns the path prefix of a route that only the given version has. It
// shows which version is in force.
func versionPrefix(version uint64) string { return fmt.Sprintf("/version-%d/", version) }

func translate(content []byte) (sidecar.Translation, error) {
	var parsed document
	if err := json.Unmarshal(content, &parsed); err != nil {
		return sidecar.Translation{}, hosted.ErrInvalidDocument.Wrap(err, "soak")
	}
	translation := sidecar.Translation{Version: parsed.Version, Resources: []model.Resource{
		{Key: model.Key{Kind: model.KindService, Name: serviceName}, Service: &model.Service{HealthPath: healthPath}},
		route(safePrefix, model.RepeatAlways), route(oncePrefix, model.RepeatNever), route(versionPrefix(parsed.Version), model.RepeatAlways),
	}}
	translation.Resources = append(translation.Resources, tenantsOf(parsed.Version)...)
	translation.Resources = append(translation.Resources, movingRoutes(parsed.Moving)...)
	for idle := range idleRoutes {
		translation.Resources = append(translation.Resources, route(fmt.Sprintf("/idle-%d/", idle), model.RepeatAlways))
	}
	return translation, nil
}

func route(prefix string, repeatable model.Repeatable) model.Resource {
	return model.Resource{Key: model.Key{Kind: model.KindRoute, Name: prefix}, Route: &model.Route{
		Match: model.Match{Host: hostName, PathStart: prefix}, Service: serviceName,
		Repeatable: repeatable, Timeout: callBound, Attempts: 3, TargetLatency: callBound / 4,
	}}
}
