package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/levertide/levertide/internal/forwarding"
	"github.com/levertide/levertide/internal/hosted"
	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/internal/lab/hostedstore"
	"github.com/levertide/levertide/internal/settings"
	"github.com/levertide/levertide/internal/telemetry"
	"github.com/levertide/levertide/internal/testlog"
	"github.com/levertide/levertide/internal/testwait"
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/workers"
)

// waitLimit bounds waits for conditions that normally hold much sooner.
const waitLimit = 30 * time.Second

// testDocument is the operators' document that the test adapter translates.
type testDocument struct {
	Version uint64
	Routes  map[string]string // service by path prefix
	// Tenants holds the key of each tenant by its name.
	Tenants map[string]string
	// Odd makes the translation panic.
	Odd bool
}

func (d testDocument) encode() []byte {
	encoded, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	return encoded
}

func translateTest(content []byte) (Translation, error) {
	var document testDocument
	if err := json.Unmarshal(content, &document); err != nil {
		return Translation{}, hosted.ErrInvalidDocument.Wrap(err, "test")
	}
	if document.Odd {
		panic("odd document")
	}
	translation := Translation{Version: document.Version}
	for prefix, service := range document.Routes {
		translation.Resources = append(translation.Resources,
			model.Resource{Key: model.Key{Kind: model.KindService, Name: service}, Service: &model.Service{HealthPath: "/healthz"}},
			model.Resource{Key: model.Key{Kind: model.KindRoute, Name: prefix}, Route: &model.Route{
				Match: model.Match{Host: "mesh.example", PathPrefix: prefix}, Service: service,
				Repeatable: model.RepeatNever, Timeout: 5 * time.Second, TargetLatency: time.Second,
			}})
	}
	for name, key := range document.Tenants {
		translation.Resources = append(translation.Resources, model.Resource{
			Key: model.Key{Kind: model.KindTenant, Name: name}, Tenant: &model.Tenant{Keys: []model.KeyDigest{model.DigestKey(key)}},
		})
	}
	return translation, nil
}

// runningNode is a node with what a test needs of it.
type runningNode struct {
	node      *Node
	registrar Registrar
	stop      context.CancelFunc
	ended     chan error
	log       *testlog.Buffer
}

// returnedAddresses are the addresses that freeAddress has returned.
var returnedAddresses sync.Map

// freeAddress returns an address that nothing else uses: it is on a loopback address
// that only this process uses, and is returned only once.
func freeAddress(t *testing.T) string {
	t.Helper()
	host := fmt.Sprintf("127.1.%d.%d", os.Getpid()>>8&0xff, os.Getpid()&0xff)
	for {
		listener, err := net.Listen("tcp", host+":0")
		if err != nil {
			t.Fatal(err)
		}
		address := listener.Addr().String()
		_ = listener.Close()
		if _, returned := returnedAddresses.LoadOrStore(address, true); !returned {
			return address
		}
	}
}

func startNode(t *testing.T, store *hostedstore.Store, id string, service string) *runningNode {
	t.Helper()
	return startNodeWith(t, store, settings.Settings{NodeID: id, Service: service, MetricsAddress: "127.0.0.1:0"})
}

// startNodeWith starts a node with the settings that matter to a test.
func startNodeWith(t *testing.T, store *hostedstore.Store, chosen settings.Settings) *runningNode {
	t.Helper()
	running := &runningNode{ended: make(chan error, 1), log: &testlog.Buffer{}}
	adapter := Adapter{
		Dialect: forwarding.Dialect{RequestID: "X-Id", Timeout: "X-Timeout", CallerService: "X-Caller", ExpectInstance: "X-Expect", NotRun: "X-Not-Run",
			Key: httpconn.KeyScheme{Header: "Authorization", Scheme: "Token"}, Tenant: "X-Tenant"},
		Open: func(string, httpconn.DialFunc) (hosted.Source, hosted.Directory, hosted.RolloutStore) {
			client := store.Client(chosen.NodeID)
			return client, client, client
		},
		Translate: translateTest,
		Identity: func(header http.Header) (Identity, bool) {
			return Identity{Instance: header.Get("X-Instance"), Slots: 4}, header.Get("X-Instance") != "" && header.Get("X-Terse") == ""
		},
		Registration: func(registrar Registrar) http.Handler {
			running.registrar = registrar
			return http.NotFoundHandler()
		},
		Readiness: func(ready func() bool) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if !ready() {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			})
		},
	}
	logQueue := telemetry.NewQueue(running.log)
	log := telemetry.NewLog(logQueue, chosen.NodeID, telemetry.LevelInfo)
	node, err := New(settings.Settings{
		NodeID: chosen.NodeID, Region: "r", Zone: "z", Service: chosen.Service, Mode: settings.ModeHosted,
		WorkerAddress: chosen.WorkerAddress,
		CallerAddress: "127.0.0.1:0", CallAddress: freeAddress(t), ControlAddress: freeAddress(t),
		AdminAddress: "127.0.0.1:0", ReadinessAddress: "127.0.0.1:0", MetricsAddress: chosen.MetricsAddress,
		StoreAddresses: []string{"unused"}, DrainBound: 10 * time.Second, StopNotice: 200 * time.Millisecond,
		HeartbeatInterval: time.Minute, RetryRatio: 0.2, RetrySlack: 64, RetryWindow: 10 * time.Second,
	}, adapter, TCP{}, log, logQueue)
	if err != nil {
		t.Fatal(err)
	}
	running.node = node
	ctx, stop := context.WithCancel(context.Background())
	running.stop = stop
	go func() { running.ended <- node.Run(ctx, func() string { return "test" }) }()
	t.Cleanup(func() {
		stop()
		select {
		case <-running.ended:
		case <-time.After(waitLimit):
		}
	})
	return running
}

func (n *runningNode) heartbeat(t *testing.T, instance, service, address string) {
	t.Helper()
	err := n.registrar.Heartbeat(t.Context(), workers.Heartbeat{Instance: instance, Service: service, Address: netip.MustParseAddrPort(address), Slots: 6, Sequence: 1})
	if err != nil {
		t.Fatal(err)
	}
}

func (n *runningNode) isReady() bool {
	response, err := http.Get("http://" + n.node.auxiliaryListeners[1].address)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// call sends one request to a node on a client's connection.
func (n *runningNode) call(t *testing.T, client *http.Client, path string) (int, string, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+n.node.callerListener.address+path, strings.NewReader("vat"))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "mesh.example"
	request.Header.Set("X-Id", "id")
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// slowWorker starts a worker that answers after 20 ms and counts its requests, and returns its address.
func slowWorker(t *testing.T, ran *atomic.Int64) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		ran.Add(1)
		time.Sleep(20 * time.Millisecond)
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		_, _ = fmt.Fprint(w, "whole")
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

var ledgerDocument = testDocument{Version: 1, Routes: map[string]string{"/ledger/": "ledger"}}

// TestPlannedStopCutsNothingOff stops a node while callers keep sending calls. Each call
// that a worker ran must have been answered completely, and the node must end although
// its callers never stop.
func TestPlannedStopCutsNothingOff(t *testing.T) {
	store := hostedstore.New()
	store.Put(ledgerDocument.encode())
	var ran, answered atomic.Int64
	edgeNode, workerNode := startNode(t, store, "front", "desk"), startNode(t, store, "back", "ledger")
	testwait.Eventually(t, "both are ready", func() bool { return edgeNode.isReady() && workerNode.isReady() })
	workerNode.heartbeat(t, "w1", "ledger", slowWorker(t, &ran))
	client := &http.Client{Timeout: waitLimit}
	testwait.Eventually(t, "calls are served", func() bool {
		status, _, _ := edgeNode.call(t, client, "/ledger/1")
		return status == http.StatusOK
	})
	ran.Store(0)
	stopCallers := make(chan struct{})
	var callers sync.WaitGroup
	for range 16 {
		callers.Go(func() {
			ownClient := &http.Client{Timeout: waitLimit, Transport: &http.Transport{}}
			for {
				select {
				case <-stopCallers:
					return
				default:
				}
				if status, body, err := edgeNode.call(t, ownClient, "/ledger/1"); err == nil && status == http.StatusOK && body == "whole" {
					answered.Add(1)
				}
			}
		})
	}
	testwait.Eventually(t, "callers are served", func() bool { return answered.Load() > 8 })
	edgeNode.stop()
	testwait.Eventually(t, "the stopping node is not ready", func() bool { return !edgeNode.isReady() })
	select {
	case err := <-edgeNode.ended:
		edgeNode.ended <- nil
		if err != nil {
			t.Error(err)
		}
	case <-time.After(9 * time.Second):
		t.Error("the node does not end while callers keep sending calls")
	}
	close(stopCallers)
	callers.Wait()
	if ran.Load() != answered.Load() {
		t.Errorf("%d calls ran, %d were answered completely", ran.Load(), answered.Load())
	}
}

// TestChangeIsInForceOnEveryNode puts documents in the store and expects each
// node to route by them, and never by an older one again.
func TestChangeIsInForceOnEveryNode(t *testing.T) {
	store := hostedstore.New()
	store.Put(ledgerDocument.encode())
	var ran atomic.Int64
	nodes := []*runningNode{startNode(t, store, "one", "ledger"), startNode(t, store, "two", "desk"), startNode(t, store, "three", "desk")}
	testwait.Eventually(t, "all are ready", func() bool {
		return nodes[0].isReady() && nodes[1].isReady() && nodes[2].isReady()
	})
	nodes[0].heartbeat(t, "w1", "ledger", slowWorker(t, &ran))
	client := &http.Client{Timeout: waitLimit}
	inForceEverywhere := func(version uint64, prefix string) {
		store.Put(testDocument{Version: version, Routes: map[string]string{prefix: "ledger"}}.encode())
		for _, node := range nodes {
			testwait.Eventually(t, prefix+" is served", func() bool {
				status, _, _ := node.call(t, client, prefix+"1")
				return status == http.StatusOK
			})
		}
	}
	inForceEverywhere(3, "/archive/")
	store.Put([]byte("no document"))
	store.Put(testDocument{Version: 2, Routes: map[string]string{"/stale/": "ledger"}}.encode())
	inForceEverywhere(4, "/filing/")
	for _, node := range nodes {
		for _, path := range []string{"/ledger/1", "/archive/1", "/stale/1"} {
			if status, _, _ := node.call(t, client, path); status != http.StatusNotFound {
				t.Errorf("%s: status %d", path, status)
			}
		}
	}
	store.Put([]byte("no document"))
	testwait.Eventually(t, "the document that cannot be parsed is logged", func() bool {
		return strings.Contains(nodes[0].log.String(), "document rejected")
	})
}

func TestMetricsAreServed(t *testing.T) {
	store := hostedstore.New()
	store.Put(ledgerDocument.encode())
	node := startNode(t, store, "one", "ledger")
	testwait.Eventually(t, "the node is ready", node.isReady)
	response, err := http.Get("http://" + node.node.auxiliaryListeners[2].address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"levertide_ready 1", "levertide_version_in_force 1", "levertide_live_nodes 1", "levertide_worker_waiting 0", `levertide_store_calls_total{call="read",result="done"}`} {
		if !strings.Contains(string(text), name) {
			t.Errorf("%q is missing", name)
		}
	}
}

// TestMetricsTellWhoReadsTheStore guards against a store that nobody watches without a figure that
// shows it.
func TestMetricsTellWhoReadsTheStore(t *testing.T) {
	store := hostedstore.New()
	store.Put(ledgerDocument.encode())
	node := startNode(t, store, "one", "ledger")
	testwait.Eventually(t, "the node watches the store", func() bool {
		response, err := http.Get("http://" + node.node.auxiliaryListeners[2].address)
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		text, err := io.ReadAll(response.Body)
		return err == nil && strings.Contains(string(text), "levertide_reads_for_all 1\n")
	})
}

// TestNodeServesWithoutItsMetricsPort has another program occupy that port.
func TestNodeServesWithoutItsMetricsPort(t *testing.T) {
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = occupied.Close() }()
	store := hostedstore.New()
	store.Put(ledgerDocument.encode())
	n := startNodeWith(t, store, settings.Settings{NodeID: "a1", Service: "ledger", MetricsAddress: occupied.Addr().String()})
	testwait.Eventually(t, "the node is ready", n.isReady)
	testwait.Eventually(t, "the fault is logged", func() bool { return strings.Contains(n.log.String(), "metrics") })
}

// TestNodeThatStartsAsksItsWorker starts a node beside a worker that has been
// running for long, and whose next heartbeat is far away: the node must find the worker
// by a request to its health path.
func TestNodeThatStartsAsksItsWorker(t *testing.T) {
	var ran atomic.Int64
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/healthz" {
			w.Header().Set("X-Instance", "w1")
			return
		}
		if r.Header.Get("X-Expect") != "w1" {
			t.Errorf("a call for %q", r.Header.Get("X-Expect"))
		}
		ran.Add(1)
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		_, _ = io.WriteString(w, "whole")
	}))
	t.Cleanup(worker.Close)
	store := hostedstore.New()
	store.Put(testDocument{Version: 1, Routes: map[string]string{"/vat/": "ledger"}}.encode())
	n := startNodeWith(t, store, settings.Settings{
		NodeID: "a1", Service: "ledger", MetricsAddress: "127.0.0.1:0", WorkerAddress: worker.Listener.Addr().String(),
	})
	testwait.Eventually(t, "a call is answered", func() bool {
		status, body, err := n.call(t, http.DefaultClient, "/vat/1")
		return err == nil && status == http.StatusOK && body == "whole"
	})
	if ran.Load() != 1 {
		t.Errorf("the worker ran %d calls", ran.Load())
	}
}
