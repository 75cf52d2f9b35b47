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

// Names of the metrics of a node that are read.
const (
	metricControlBytes  = "levertide_control_bytes_total"
	metricStoreRequests = "levertide_store_requests_total"
)

// NodeCounters are totals of one node's process since it started.
type NodeCounters struct {
	// Bytes are the control bytes of both directions and all roles, and HighestRole is the
	// highest role for which any were counted.
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
		return NodeCounters{}, ErrMetrics.Wrap(err, "create the metrics request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return NodeCounters{}, ErrMetrics.Wrap(err, "request metrics")
	}
	defer func() { _ = response.Body.Close() }()
	return parseCounters(response.Body)
}

// parseCounters reads metrics in the text format.
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
		return NodeCounters{}, ErrMetrics.Wrap(err, "read metrics")
	}
	return counters, nil
}

// add adds one sample.
func (c *NodeCounters) add(name string, value float64) {
	switch {
	case name == metricStoreRequests:
		c.StoreRequests = value
	case strings.HasPrefix(name, metricControlBytes+"{") && value > 0:
		c.Bytes += value
		c.HighestRole = higherRole(c.HighestRole, name)
	}
}

// higherRole returns the higher of the role known so far and the role in a sample's labels.
func higherRole(known, labels string) string {
	highest := known
	reachedKnown := known == ""
	for _, role := range results.Roles() {
		if role == known {
			reachedKnown = true
		}
		if reachedKnown && strings.Contains(labels, `role="`+role+`"`) {
			highest = role
		}
	}
	return highest
}
