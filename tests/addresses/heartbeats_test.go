package addresses_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/levertide/levertide/platform/standin"
)

const (
	heartbeatInterval = time.Second
	// againInterval is the pause after a heartbeat that did not arrive: the next one is there as soon as the
	// node listens, before that of its worker.
	againInterval = 20 * time.Millisecond
)

// oddForms are addresses of another writer; H and P stand for the host and the port of the true worker.
var oddForms = []string{
	"H:", "H", "H :P", "[H:P", "http://H:P/", "H:http", "::1:P", "0.1:P", "127..1:P", "H:-1", "H:123456789012", "[::%réseau]:P",
	"", ":P", "H:P/path", " H:P", "localhost:P", "0x7f.1:P", "[H]:P", "H:P\x00", "H:99999", "H:0", "0.0.0.0:P", "[fe80::1%eth0]:P",
	// These are addresses, but not that of the worker.
	"127.0.0.9:P", "[::1]:P", "[::ffff:127.0.0.9]:P",
}

// of returns a form with the host and the port of an address.
func of(form, address string) string {
	ip, port, _ := net.SplitHostPort(address)
	return strings.NewReplacer("H", ip, "P", port).Replace(form)
}

// writer sends heartbeats of an instance that there is not.
type writer struct {
	place    *place
	instance string
	address  string
	interval time.Duration
	// body is sent in place of a heartbeat, if it is not empty.
	body string
	// taken counts the heartbeats that were acknowledged, refused those that were not.
	taken, refused atomic.Int64
}

// oddHeartbeat returns a heartbeat as that of the true worker, with another address.
func (w *writer) oddHeartbeat(sequence int) []byte {
	if w.body != "" {
		return []byte(w.body)
	}
	body, _ := json.Marshal(map[string]any{
		"address": w.address, "born": w.place.worker.StartedAt().UnixMilli(),
		"info":   map[string]any{"service": w.place.worker.Service(), "version": "v1", "zone": "z", "slots": 6},
		"status": map[string]any{"state": "ready", "sequence": sequence, "cold_remaining_ms": 0},
	})
	return body
}

// run sends a heartbeat each interval until stop is closed.
func (w *writer) run(stop <-chan struct{}) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for sequence := 1; ; sequence++ {
		next := w.interval
		// The address of the node outlasts its processes.
		response, err := client.Post("http://"+w.place.node.Admin+"/api/rpc?call=instances.heartbeat&of="+url.QueryEscape(w.instance), "application/json", bytes.NewReader(w.oddHeartbeat(sequence)))
		switch {
		case err != nil:
			next = againInterval
		case response.StatusCode == http.StatusOK:
			w.taken.Add(1)
		default:
			w.refused.Add(1)
		}
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		select {
		case <-time.After(next):
		case <-stop:
			return
		}
	}
}

// startWriters runs writers. It returns a function that ends them.
func startWriters(writers ...*writer) (end func()) {
	stop := make(chan struct{})
	var running sync.WaitGroup
	for _, w := range writers {
		// A copy of the place: its node is replaced at each restart.
		own := *w.place
		w.place = &own
		running.Go(func() { w.run(stop) })
	}
	return func() {
		close(stop)
		running.Wait()
	}
}

// TestHeartbeatWithAnOddAddressDisplacesNoWorker guards against services that nobody serves, after all
// nodes were lost, for as long as another writer sends heartbeats from an address at which no worker is.
func TestHeartbeatWithAnOddAddressDisplacesNoWorker(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	for first := 0; first < len(oddForms); first += len(d.places) {
		var writers []*writer
		for i, p := range d.places {
			form := oddForms[(first+i)%len(oddForms)]
			writers = append(writers, &writer{place: p, instance: fmt.Sprintf("h%d", first+i), address: of(form, p.node.Worker), interval: heartbeatInterval})
		}
		end := startWriters(writers...)
		what := fmt.Sprintf("heartbeats of %q", []string{writers[0].address, writers[1].address, writers[2].address})
		d.mustBeServed(what+" before the loss", servedTime)
		d.mustReturn(what)
		end()
		for i, w := range writers {
			d.mustTell(d.places[i].node, w.instance)
		}
	}
}

// mustTell checks that the log of a node says that the heartbeats of an instance are refused.
func (d *deployment) mustTell(node *standin.Node, instance string) {
	d.t.Helper()
	const heartbeatRejected = 618
	for line := range strings.Lines(node.Log()) {
		var event struct {
			Event                   int
			Instance, Reason, Error string
			Calls                   int
		}
		if json.Unmarshal([]byte(line), &event) == nil && event.Event == heartbeatRejected && event.Instance == instance {
			if event.Calls == 0 || event.Reason == "" || !strings.Contains(event.Error, "want ") {
				d.t.Errorf("%s says of %s: %s", node.ID(), instance, line)
			}
			return
		}
	}
	d.t.Errorf("%s does not say that heartbeats of %s are refused", node.ID(), instance)
}

// TestHeartbeatThatCannotBeReadChangesNothing guards against the same by bodies that are no heartbeat.
func TestHeartbeatThatCannotBeReadChangesNothing(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	bodies := []string{
		strings.Repeat("a", 64<<10), `{"address":` + strings.Repeat(`{"a":`, 3000), "\x00\xff{", "null", `{"address":null,"info":null,"status":null}`,
		`{"address":["127.0.0.1:1"],"info":{},"status":{}}`, `{"address":{"ip":"127.0.0.1"},"info":[],"status":7}`,
	}
	var writers []*writer
	for i, p := range d.places {
		for n, body := range bodies {
			writers = append(writers, &writer{place: p, instance: fmt.Sprintf("h%d-%d", i, n), body: body, interval: heartbeatInterval})
			writers = append(writers, &writer{place: p, instance: p.instance, body: body, interval: heartbeatInterval})
		}
	}
	end := startWriters(writers...)
	defer end()
	for range 2 {
		d.mustReturn("heartbeats that cannot be read")
	}
	for _, w := range writers {
		if taken := w.taken.Load(); taken > 0 {
			t.Errorf("%d heartbeats %.40q were taken", taken, w.body)
		}
	}
}

// TestHeartbeatAtTheWorkersAddressDisplacesNoWorker guards against the same by another instance that says it is at
// the worker's own address, or at one where another process answers.
func TestHeartbeatAtTheWorkersAddressDisplacesNoWorker(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	for _, at := range []struct {
		name    string
		address func(i int) string
	}{
		{"its worker", func(i int) string { return d.places[i].node.Worker }},
		{"another worker", func(i int) string { return d.places[(i+1)%len(d.places)].node.Worker }},
		{"the node itself", func(i int) string { return d.places[i].node.Callers }},
	} {
		var writers []*writer
		for i, p := range d.places {
			writers = append(writers, &writer{place: p, instance: fmt.Sprintf("h%d", i), address: at.address(i), interval: heartbeatInterval})
		}
		end := startWriters(writers...)
		what := "heartbeats of another instance at the address of " + at.name
		d.mustReturn(what)
		end()
	}
}

// storeFaults are what is wrong with the store while the nodes start.
var storeFaults = []struct {
	name  string
	fault standin.Fault
}{{"slow", standin.FaultSlow}, {"silent", standin.FaultAway}, {"turning away", standin.FaultUnavailable}}

// TestOddHeartbeatsBesideStoreFaultsDisplaceNoWorker guards against the same where the store is of no help at the start.
func TestOddHeartbeatsBesideStoreFaultsDisplaceNoWorker(t *testing.T) {
	t.Parallel()
	const faultTime = 2 * time.Second
	d := deploy(t)
	var writers []*writer
	for i, p := range d.places {
		for n, form := range oddForms {
			writers = append(writers, &writer{place: p, instance: fmt.Sprintf("h%d-%d", i, n), address: of(form, p.node.Worker), interval: heartbeatInterval})
		}
	}
	defer startWriters(writers...)()
	for _, f := range storeFaults {
		d.killAll()
		d.store.SetFault(f.fault)
		d.startAll()
		time.Sleep(faultTime)
		d.store.SetFault(standin.FaultNone)
		began := time.Now()
		d.mustBeServed("odd heartbeats beside a store that was "+f.name, servedTime)
		t.Logf("a store that was %s: served %v after its return", f.name, time.Since(began).Round(time.Millisecond))
		d.mustStayServed("odd heartbeats beside a store that was " + f.name)
	}
}

// TestDrawnWritersThroughRestarts draws writers, losses and faults of the store in series that overlap.
func TestDrawnWritersThroughRestarts(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playDrawn(t, rand.New(rand.NewPCG(seed, 0))) })
	}
}

func playDrawn(t *testing.T, random *rand.Rand) {
	const mostWriters, mostLosses, longestFault = 6, 3, 3000
	forms := append(slices.Clone(oddForms), "H:P")
	d := deploy(t)
	for range *restarts {
		var writers []*writer
		for _, p := range d.places {
			for range random.IntN(mostWriters + 1) {
				writers = append(writers, &writer{
					place: p, instance: fmt.Sprintf("h%d", random.IntN(mostWriters)), address: of(forms[random.IntN(len(forms))], p.node.Worker),
					interval: time.Duration(100+random.IntN(1500)) * time.Millisecond,
				})
			}
		}
		end := startWriters(writers...)
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		fault := standin.Fault(random.IntN(int(standin.FaultLostAnswers) + 1))
		d.store.SetFault(fault)
		losses := 1 + random.IntN(mostLosses)
		for range losses {
			d.killAll()
			time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
			d.startAll()
			time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		}
		if fault != standin.FaultNone {
			time.Sleep(time.Duration(random.IntN(longestFault)) * time.Millisecond)
		}
		d.store.SetFault(standin.FaultNone)
		began, what := time.Now(), fmt.Sprintf("%d writers, %d losses, fault %d of the store", len(writers), losses, fault)
		d.mustBeServed(what, servedTime)
		t.Logf("%s: served after %v", what, time.Since(began).Round(time.Millisecond))
		d.mustStayServed(what)
		end()
	}
}
