package mesh

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/levertide/levertide/internal/lab/results"
)

// Names in the metrics of a node.
const (
	metricControlBytes  = "levertide_control_bytes_total"
	metricStoreRequests = "levertide_store_requests_total"
)

// NodeCounters are running totals of one node's process.
type NodeCounters struct {
	// Bytes are control bytes of both directions under all roles, and
	// HighestRole is the largest role that any were counted under.
	Bytes         float64
	HighestRole   string
	StoreRequests float64
}

// Counters reads the metrics of the node. It fails with ErrMetrics.
func (n *Node) Counters(ctx context.Context) (NodeCounters, error) {
	return ReadCounters(ctx, n.AdminAddress())
}

// ReadCounters reads the metrics of the node with the given administration
// address, IP:port. It fails with ErrMetrics.
func ReadCounters(ctx context.Context, adminAddress string) (NodeCounters, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+adminAddress+"/metrics", nil)
	if err != nil {
		return NodeCounters{}, ErrMetrics.Wrap(err, "request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return NodeCounters{}, ErrMetrics.Wrap(err, "read")
	}
	defer func() { _ = response.Body.Close() }()
	return parseCounters(response.Body)
}

// parseCounters reads the text form of metrics.
func parseCounters(source io.Reader) (NodeCounters, error) {
	var counters NodeCounters
	lines := bufio.NewScanner(source)
	for lines.Scan() {
		name, text, found := strings.Cut(lines.Text(), " ")
		if !found || strings.HasPrefix(name, "#") {
			continue
		}
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			continue
		}
		counters.add(name, value)
	}
	if err := lines.Err(); err != nil {
		return NodeCounters{}, ErrMetrics.Wrap(err, "read")
	}
	return counters, nil
}

// add takes one sample.
func (c *NodeCounters) add(name string, value float64) {
	switch {
	case name == metricStoreRequests:
		c.StoreRequests = value
	case strings.HasPrefix(name, metricControlBytes+"{") && value > 0:
		c.Bytes += value
		c.HighestRole = higherRole(c.HighestRole, name)
	}
}

// higherRole returns the higher of a role and the one that a sample's labels name.
func higherRole(known, labels string) string {
	highest := known
	seen := known == ""
	for _, role := range results.Roles() {
		if role == known {
			seen = true
		}
		if seen && strings.Contains(labels, `role="`+role+`"`) {
			highest = role
		}
	}
	return highest
}
