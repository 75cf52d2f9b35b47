package integration_test

import (
	"testing"

	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/tests/integration/harness"
)

func TestApplyIsInForceEverywhere(t *testing.T) {
	mesh, first := running(t, twoZones()...)
	for _, node := range mesh.Nodes("") {
		get(t, mesh, node, 1)
	}
	second := mesh.Operator.Apply(resources(2))
	if second <= first {
		t.Errorf("version %d after %d", second, first)
	}
	mesh.AwaitVersion(second, mesh.Nodes("")...)
	for _, node := range mesh.Nodes("") {
		get(t, mesh, node, 2)
		old := harness.Call(t.Context(), node, harness.Request{Method: "GET", Path: path(1)})
		if old.Reason != outcome.NoRoute {
			t.Errorf("%s still routes generation 1: %+v", node.Name, old)
		}
	}
}
