package scale

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/levertide/levertide/internal/control"
	"github.com/levertide/levertide/internal/lab/hollow"
	"github.com/levertide/levertide/internal/lab/mesh"
	"github.com/levertide/levertide/internal/lab/observe"
	"github.com/levertide/levertide/internal/lab/results"
)

// sample is one node's control bytes in one span of time.
type sample struct {
	// from and to are in seconds since the start of the run.
	from, to float64
	bytes    float64
	role     int
	alive    bool
}

// measurements keeps the control bytes of every node.
type measurements struct {
	started time.Time

	mutex      sync.Mutex
	nodes      map[string][]sample
	violations []string
	checked    map[string]int
	roles      map[string]int
}

// newMeasurements returns measurements of a run that starts at the given time.
func newMeasurements(started time.Time) *measurements {
	return &measurements{
		started: started,
		nodes:   make(map[string][]sample),
		checked: make(map[string]int),
		roles:   make(map[string]int),
	}
}

// addSeries takes what one process of hollow nodes measured since its last sample.
func (m *measurements) addSeries(process string, taken hollow.Series) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	start := taken.Start.Sub(m.started).Seconds()
	for _, node := range taken.Nodes {
		for i, bytes := range node.Bytes {
			m.nodes[node.ID] = append(m.nodes[node.ID], sample{
				from:  start + float64(i),
				to:    start + float64(i+1),
				bytes: float64(bytes),
				role:  int(node.Roles[i]),
				alive: node.Roles[i] != hollow.RoleDead,
			})
			m.roles[node.ID] = int(node.Roles[i])
		}
	}
	m.violations = append(m.violations, taken.Violations...)
	m.checked[process] = taken.Checked
}

// realReading is the last reading of a real process's counters.
type realReading struct {
	at       time.Time
	counters mesh.NodeCounters
	known    bool
}

// addReal takes a reading of a real process. A process that has started again
// counts from zero.
func (m *measurements) addReal(node string, before, now realReading) {
	if !before.known || now.counters.Bytes < before.counters.Bytes {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	role := roleNumber(now.counters.HighestRole)
	m.nodes[node] = append(m.nodes[node], sample{
		from:  before.at.Sub(m.started).Seconds(),
		to:    now.at.Sub(m.started).Seconds(),
		bytes: now.counters.Bytes - before.counters.Bytes,
		role:  role,
		alive: true,
	})
	m.roles[node] = role
}

// roleNumber returns the number of a role in control.Role.
func roleNumber(name string) int {
	for number, role := range results.Roles() {
		if role == name {
			return number
		}
	}
	return int(control.RoleLeaf)
}

// roleOf returns the role that a node had last.
func (m *measurements) roleOf(node string) control.Role {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return control.Role(m.roles[node])
}

// snapshotsChecked returns how many snapshots were compared with their version.
func (m *measurements) snapshotsChecked() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	total := 0
	for _, count := range m.checked {
		total += count
	}
	return total
}

// wholeViolations returns what the checks of whole snapshots found.
func (m *measurements) wholeViolations() []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return append([]string(nil), m.violations...)
}

// spreads are control bytes over nodes and windows, in all and by role.
type spreads struct {
	all      *results.Spread
	byRole   results.RoleSpreads
	window   int
	heaviest []results.HeavyNode
}

// mostHeavy bounds the heaviest nodes that are listed.
const mostHeavy = 12

// spreadsOver works out control bytes between two seconds of the run. Each
// node gives one value for each window that slides over the span second by
// second and in which it ran throughout; its role in a window is the largest
// one that it had. The mean is over all values, so nodes weigh alike.
func (m *measurements) spreadsOver(from, to float64, window float64) spreads {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	window = min(window, max(to-from-windowSlack, 1))
	var all []float64
	byRole := make([][]float64, len(results.Roles()))
	var heavy []results.HeavyNode
	for node, samples := range m.nodes {
		heaviest := windowValue{}
		for _, value := range windowsOf(samples, from, to, window) {
			all = append(all, value.rate)
			byRole[value.role] = append(byRole[value.role], value.rate)
			if value.rate > heaviest.rate {
				heaviest = value
			}
		}
		heavy = append(heavy, results.HeavyNode{
			Node: node, Role: results.Roles()[heaviest.role], BytesPerSecond: heaviest.rate, StartSecond: heaviest.start,
		})
	}
	slices.SortFunc(heavy, func(a, b results.HeavyNode) int { return cmp.Compare(b.BytesPerSecond, a.BytesPerSecond) })
	worked := spreads{heaviest: heavy[:min(len(heavy), mostHeavy)], all: results.SpreadOf(observe.Distribute(all)), window: int(math.Round(window))}
	for number, role := range results.Roles() {
		worked.byRole.Set(role, results.SpreadOf(observe.Distribute(byRole[number])))
	}
	return worked
}

// windowValue is one node's rate in one window.
type windowValue struct {
	rate  float64
	role  int
	start float64
}

// windowsOf returns the rate of every window of a node in a span.
func windowsOf(samples []sample, from, to, window float64) []windowValue {
	var values []windowValue
	first := 0
	for first < len(samples) && samples[first].from < from {
		first++
	}
	for start := first; start < len(samples) && samples[start].from+window <= to+0.5; start++ {
		if value, ok := windowFrom(samples[start:], window); ok {
			values = append(values, value)
		}
	}
	return values
}

// windowFrom returns the rate of the window that begins with the first sample;
// false tells that the node did not run throughout or that samples lack.
func windowFrom(samples []sample, window float64) (windowValue, bool) {
	total, role := 0.0, 0
	begin := samples[0].from
	end := begin
	for _, one := range samples {
		if !one.alive || one.from-end > maxGap {
			return windowValue{}, false
		}
		total += one.bytes
		role = max(role, one.role)
		end = one.to
		if end-begin >= window-windowTolerance {
			return windowValue{rate: total / (end - begin), role: role, start: begin}, true
		}
	}
	return windowValue{}, false
}

// windowSlack is how much longer than a window a span must be, in seconds, since
// samples do not begin with the span.
const windowSlack = 8

// Tolerances in seconds: between two samples of one node, and of a window's length.
const (
	maxGap          = 2.0
	windowTolerance = 0.5
)

// seconds returns control bytes of the hollow nodes second by second.
func (m *measurements) seconds(phaseAt func(float64) string) []results.Second {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var values [][]float64
	for _, samples := range m.nodes {
		for _, one := range samples {
			if one.to-one.from > 1+maxGap || !one.alive || one.from < 0 {
				continue
			}
			second := int(one.from)
			for len(values) <= second {
				values = append(values, nil)
			}
			values[second] = append(values[second], one.bytes/(one.to-one.from))
		}
	}
	var seconds []results.Second
	for second, rates := range values {
		spread := observe.Distribute(rates)
		if spread == nil {
			continue
		}
		seconds = append(seconds, results.Second{
			Second: second, Phase: phaseAt(float64(second)),
			MeanBytes: spread.Mean, P99Bytes: spread.P99, MaxBytes: spread.Max,
		})
	}
	return seconds
}
