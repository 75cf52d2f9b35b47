package forwarding

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/slotqueue"
	"github.com/levertide/levertide/pkg/workers"
)

// headerTestLoad carries the slowness of a test's worker, in hundredths.
const headerTestLoad = "X-Load"

func testWorkerLoad(header http.Header) (slotqueue.Load, bool) {
	reported, err := strconv.Atoi(header.Get(headerTestLoad))
	return slotqueue.Load{Slots: 4, Slowness: float64(reported) / 100}, err == nil
}

// reportSlowness makes a worker report its slowness.
func reportSlowness(worker *testWorker, reported string) {
	worker.answer(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerTestLoad, reported)
		_, _ = w.Write([]byte("ok"))
	})
}

// record records the bytes sent and received on connections.
type record struct {
	mu   sync.Mutex
	text strings.Builder
}

func (r *record) add(p []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.text.Write(p)
}

// fields returns the numbers of fields that the headers between nodes had since its last call.
func (r *record) fields() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.text.Reset()
	var counts []string
	for _, found := range regexp.MustCompile(hopHeader+`(?:-Load)?: (.*)\r\n`).FindAllStringSubmatch(r.text.String(), -1) {
		counts = append(counts, strconv.Itoa(len(strings.Split(found[1], hopSeparator))))
	}
	return strings.Join(counts, " ")
}

// contains reports whether a header was sent or received since the last call of fields.
func (r *record) contains(header string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Contains(r.text.String(), header+": ")
}

type recordedConn struct {
	net.Conn
	record *record
}

func (c recordedConn) Write(p []byte) (int, error) {
	c.record.add(p)
	return c.Conn.Write(p)
}

func (c recordedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.record.add(p[:n])
	return n, err
}

// TestOnlyReportedSlownessChangesTheHopHeaders checks the headers between two nodes before and
// after the worker reports its slowness.
func TestOnlyReportedSlownessChangesTheHopHeaders(t *testing.T) {
	front, back, worker := twoNodes(t)
	back.plane.config.Dialect.WorkerLoad = testWorkerLoad
	crossed := &record{}
	dial := front.plane.peers.DialContext
	front.plane.peers.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		return recordedConn{conn, crossed}, err
	}
	get(t, front, "/read/1")
	get(t, front, "/read/1")
	if crossed.contains(workHeader) {
		t.Error("the work of a call is sent where the worker reports nothing")
	}
	if got, want := crossed.fields(), fmt.Sprint(hopFieldsLevel, " ", loadFields, " ", hopFieldsLevel, " ", loadFields); got != want {
		t.Errorf("fields where the worker reports nothing: %s, want %s", got, want)
	}
	reportSlowness(worker, "120")
	get(t, front, "/read/1")
	if got, want := crossed.fields(), fmt.Sprint(hopFieldsLevel, " ", loadFieldsSlowness); got != want {
		t.Errorf("fields where it reports its slowness: %s, want %s", got, want)
	}
	get(t, front, "/read/1")
	if !crossed.contains(workHeader) {
		t.Error("the work of a call is not sent where the worker reports its slowness")
	}
}

// steady returns the mean of a slowness that does not change.
func steady(slowness float64) decayingMean {
	return decayingMean{latest: slowness, longTerm: slowness, latestAt: time.Now()}
}

// TestSlowWorkerDeclinesWhatAnotherAnswersSooner makes the nodes of two workers know these to be
// slower than the node where the call begins has estimated.
func TestSlowWorkerDeclinesWhatAnotherAnswersSooner(t *testing.T) {
	const believed, next, slow = 1, 1.5, 50
	for _, c := range []struct {
		name             string
		first, second    float64
		firstBelieved    float64
		declined, offers int
	}{
		{"the first is as believed", believed, next, believed, 0, 1},
		{"the first is slow", slow, next, believed, 1, 2},
		{"both are as slow", slow, slow, believed, 1, 2},
		{"the second is slower", slow, 2 * slow, believed, 2, 3},
		{"the first is known to be slow", slow, next, slow, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			worker := startWorker(t)
			front := startNode(t, "front", "desk", nil)
			first, second := startNode(t, "first", "ledger", worker), startNode(t, "second", "ledger", worker)
			exchangeRecords(front, first, second)
			configure(t, ledgerRoutes, front, first, second)
			d := front.plane.destination("ledger")
			d.endpoints["first"].reportedSlowness, d.endpoints["second"].reportedSlowness = steady(c.firstBelieved), steady(next)
			for node, slowness := range map[*testNode]float64{first: c.first, second: c.second} {
				client, err := node.plane.local.find("ledger", workers.Incarnation{})
				if err != nil {
					t.Fatal(err)
				}
				client.reportedSlowness = steady(slowness)
			}
			if status, _, _ := post(t, front, "/file/1", "x"); status != http.StatusOK || worker.calls.Load() != 1 {
				t.Errorf("status %d, the worker had %d calls", status, worker.calls.Load())
			}
			report := <-front.reports
			if declined := first.refusedHops.Load() + second.refusedHops.Load(); report.Offers != c.offers || declined != int64(c.declined) {
				t.Errorf("%d offers, %d declined", report.Offers, declined)
			}
		})
	}
}

// TestLatestValueDecaysToTheLongTermMean checks the expected value after new and old reports.
func TestLatestValueDecaysToTheLongTermMean(t *testing.T) {
	now := time.Unix(1000, 0)
	var m decayingMean
	if m.known() || m.at(now) != 0 {
		t.Errorf("before any report: %v", m.at(now))
	}
	m.observe(1, now)
	m.observe(1, now.Add(time.Second))
	now = now.Add(time.Second)
	m.observe(9, now.Add(-time.Millisecond))
	if m.at(now) != 1 {
		t.Errorf("after a late report: %v", m.at(now))
	}
	now = now.Add(longTermDecay)
	m.observe(3, now)
	if fresh := m.at(now); fresh != 3 {
		t.Errorf("after a new report: %v", fresh)
	}
	old := m.at(now.Add(reportDecay))
	if half := m.at(now.Add(reportDecay / 2)); half <= old || half >= 3 || old <= 1 || old >= 3 {
		t.Errorf("%v after half of reportDecay, %v after all of it", half, old)
	}
}

// TestObservationsCountBeyondReportedSlowness compares the expected duration of a request by what
// the worker reports and by what was observed.
func TestObservationsCountBeyondReportedSlowness(t *testing.T) {
	for _, c := range []struct{ seen, reported, want float64 }{
		{0.4, 0, 0.4}, {3, 0, 3}, {1, 0.55, 0.55}, {0.4, 1.2, 1.2}, {1.9, 1.2, 1.2}, {3 * unexplainedFactor, 2, 6},
	} {
		e := &endpoint{slowness: c.seen}
		if got := e.work(criteria{work: 1, usual: 1}, c.reported); got != c.want {
			t.Errorf("observed %v, reported %v: %v, want %v", c.seen, c.reported, got, c.want)
		}
	}
}

// TestImplausibleSlownessIsBounded makes a worker report a slowness that no work can have.
func TestImplausibleSlownessIsBounded(t *testing.T) {
	client := &workerClient{dialect: &Dialect{WorkerLoad: testWorkerLoad}}
	client.observeLoad(http.Header{headerTestLoad: {strconv.Itoa(math.MaxInt)}})
	reported := slotqueue.Load{Slots: 4, Slowness: client.slowness()}
	if load, _, ok := parseLoad(formatLoad(reported, 0)); !ok || load.Slowness != reported.Slowness {
		t.Errorf("a load of %+v reads %+v", reported, load)
	}
	limit := choice{load: reported, lead: time.Second}.slowestWorthwhile(time.Second)
	if read, ok := parseHop(hop{service: "s", work: time.Second, slowest: limit}.encode()); !ok || read.slowest <= 0 {
		t.Errorf("a limit of %v reads %v, %v", limit, read.slowest, ok)
	}
	work := (&endpoint{slowness: 1}).work(criteria{usual: time.Hour}, reported.Slowness)
	if time.Duration(work) <= 0 {
		t.Errorf("an hour of work is expected to take %v", time.Duration(work))
	}
}
