package baseline_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/levertide/levertide/internal/lab/baseline"
	"github.com/levertide/levertide/internal/lab/fabric"
	"github.com/levertide/levertide/pkg/model"
)

// counting gives one service more with each change.
type counting struct{ resources []model.Resource }

func (c *counting) Next() (whole, changed []model.Resource) {
	added := model.Resource{
		Key:     model.Key{Kind: model.KindService, Name: fmt.Sprintf("service-%d", len(c.resources))},
		Service: &model.Service{Slots: 1, Connections: 1},
	}
	c.resources = append(c.resources, added)
	return c.resources, []model.Resource{added}
}

// options describes a few nodes in two zones.
func options(t *testing.T) baseline.Options {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	described := baseline.Options{
		Links:    fabric.NewLinks(time.Millisecond),
		Source:   &counting{},
		Changes:  2,
		Interval: time.Millisecond,
		Address:  address,
	}
	for i := range 6 {
		described.Nodes = append(described.Nodes, baseline.Node{
			ID: fmt.Sprint(i), Zone: fabric.ZoneNumber(1 + i%2), Host: uint8(1 + i),
		})
	}
	return described
}

// check checks that every node got every change and that bytes were counted.
func check(t *testing.T, result baseline.Result, err error, nodes int) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	if result.Missing != 0 || len(result.Convergence) != 2 || len(result.Rates) != nodes {
		t.Errorf("result %+v, want 2 changes and %d rates", result, nodes)
	}
	for _, rate := range result.Rates {
		if rate <= 0 {
			t.Errorf("a node without bytes: %v", result.Rates)
		}
	}
}

func TestPolling(t *testing.T) {
	result, err := baseline.Polling(context.Background(), options(t))
	check(t, result, err, 6)
	if result.Requests <= 0 {
		t.Error("no requests counted")
	}
}

func TestHub(t *testing.T) {
	result, err := baseline.Hub(context.Background(), options(t))
	check(t, result, err, 7)
	if result.ServerRate <= 0 {
		t.Error("no bytes of the hub counted")
	}
}
