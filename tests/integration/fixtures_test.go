package integration_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/tests/integration/harness"
)

const ledger = "ledger"

// resources returns one service and a route whose path depends on the generation,
// so that a caller can tell which version a node runs.
func resources(generation int) []model.Resource {
	return []model.Resource{
		{Key: model.Key{Kind: model.KindService, Name: ledger}, Service: &model.Service{
			Calls: []string{}, Slots: 6, Connections: 130, Queue: 12, Timeout: 30 * time.Second,
		}},
		{Key: model.Key{Kind: model.KindSecret, Name: "token"}, Secret: &model.Secret{Value: fmt.Sprintf("value-%d", generation)}},
		{Key: model.Key{Kind: model.KindRoute, Name: "filings"}, Route: &model.Route{
			Match:      model.Match{Host: "*", PathPrefix: path(generation)},
			Service:    ledger,
			Repeatable: model.RepeatSafeMethods,
			Priority:   model.PriorityNormal,
			Credential: &model.Credential{Secret: "token", Header: "Authorization"},
		}},
	}
}

// callable returns resources whose route has the same path in each generation.
func callable(generation int) []model.Resource {
	set := resources(generation)
	set[len(set)-1].Route.Match.PathPrefix = "/calls"
	return set
}

func path(generation int) string { return fmt.Sprintf("/generation-%d", generation) }

// twoZones returns a gateway and two workers in each of two zones.
func twoZones() []harness.NodeOptions {
	var nodes []harness.NodeOptions
	for _, zone := range []string{"a", "b"} {
		nodes = append(nodes,
			harness.NodeOptions{Name: zone + "-gateway", Zone: zone},
			harness.NodeOptions{Name: zone + "-ledger-1", Zone: zone, Service: ledger},
			harness.NodeOptions{Name: zone + "-ledger-2", Zone: zone, Service: ledger},
		)
	}
	return nodes
}

// running returns a mesh with generation 1 in force everywhere.
func running(t *testing.T, nodes ...harness.NodeOptions) (*harness.Mesh, uint64) {
	t.Helper()
	t.Parallel()
	mesh := harness.New(t, nodes...)
	mesh.StartAll()
	version := mesh.Operator.Apply(resources(1))
	mesh.AwaitVersion(version, mesh.Nodes("")...)
	mesh.AwaitReady(mesh.Nodes("")...)
	return mesh, version
}

// get calls a generation's path until it is answered. A node may refuse the call
// as not-run while it does not know all members yet.
func get(t *testing.T, mesh *harness.Mesh, node *harness.Node, generation int) harness.Answer {
	t.Helper()
	var answer harness.Answer
	mesh.Eventually(fmt.Sprintf("%s answers for generation %d", node.Name, generation), func() bool {
		answer = harness.Call(t.Context(), node, harness.Request{Method: http.MethodGet, Path: path(generation)})
		return answer.Err == nil && answer.Outcome == outcome.Answered && answer.Status == http.StatusOK
	})
	return answer
}
