package scale

import (
	"math"
	"testing"

	"github.com/levertide/levertide/internal/lab/results"
	"github.com/levertide/levertide/pkg/model"
)

func TestFitFindsPlane(t *testing.T) {
	var points []results.SlopePoint
	for _, size := range sweepPoints() {
		value := 5 + 0.25*float64(size.nodes) - 2*float64(size.services)
		points = append(points, results.SlopePoint{Nodes: size.nodes, Services: size.services, StoreRequests: &value})
	}
	found, ok := fit(points, func(p results.SlopePoint) *float64 { return p.StoreRequests })
	if !ok {
		t.Fatal("no fit")
	}
	for _, pair := range [][2]float64{{found.Intercept, 5}, {found.PerNode, 0.25}, {found.PerService, -2}, {found.Residual, 0}} {
		if math.Abs(pair[0]-pair[1]) > 1e-6 {
			t.Errorf("got %g, want %g in %+v", pair[0], pair[1], found)
		}
	}
}

func TestFitNeedsPointsOffOneLine(t *testing.T) {
	value := 1.0
	var points []results.SlopePoint
	for _, nodes := range []int{1, 2, 3, 4} {
		points = append(points, results.SlopePoint{Nodes: nodes, Services: 10, StoreRequests: &value})
	}
	if found, ok := fit(points, func(p results.SlopePoint) *float64 { return p.StoreRequests }); ok {
		t.Errorf("a fit without any change of services: %+v", found)
	}
	if _, ok := fit(points, func(p results.SlopePoint) *float64 { return p.CoreShare }); ok {
		t.Error("a fit of what was not measured")
	}
}

func TestWindowsLeaveOutDeadTimeAndTakeTheLargestRole(t *testing.T) {
	var samples []sample
	for second := range 10 {
		samples = append(samples, sample{
			from: float64(second), to: float64(second + 1), bytes: 100, role: second / 8, alive: second != 4,
		})
	}
	values := windowsOf(samples, 0, 10, 3)
	want := []windowValue{{100, 0, 0}, {100, 0, 1}, {100, 0, 5}, {100, 1, 6}, {100, 1, 7}}
	if len(values) != len(want) {
		t.Fatalf("%d windows, want %d: %v", len(values), len(want), values)
	}
	for i, value := range values {
		if value != want[i] {
			t.Errorf("window %d is %v, want %v", i, value, want[i])
		}
	}
}

func TestWorkloadStaysClosed(t *testing.T) {
	work := newWorkload(31, 7)
	for range 50 {
		work.next()
	}
	again := newWorkload(31, 7)
	for range 50 {
		again.next()
	}
	if len(work.list()) != len(again.list()) {
		t.Errorf("%d and %d resources from one seed", len(work.list()), len(again.list()))
	}
	for _, resource := range work.list() {
		if resource.Route == nil {
			continue
		}
		if _, ok := work.resources[model.Key{Kind: model.KindService, Name: resource.Route.Service}]; !ok {
			t.Errorf("%s lacks its service", resource.Key)
		}
	}
}
