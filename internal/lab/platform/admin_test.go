package platform_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/levertide/levertide/internal/lab/platform"
	"github.com/levertide/levertide/internal/platform/consul"
	"github.com/levertide/levertide/pkg/store"
	"github.com/levertide/levertide/pkg/store/memory"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// rig is a stand-in with a client of its API and the handler of its admin endpoint.
type rig struct {
	server *platform.Server
	store  *consul.Client
	admin  http.Handler
}

func newRig(t *testing.T) *rig {
	t.Helper()
	server := platform.New(platform.Config{})
	t.Cleanup(server.Close)
	address, err := server.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client := consul.New(consul.Config{Address: "http://" + address, Client: "node-1"})
	t.Cleanup(client.Close)
	return &rig{server: server, store: client, admin: server.AdminHandler()}
}

// call sends an admin request and decodes the answer unless answer is nil.
func (r *rig) call(t *testing.T, method, path string, body, answer any) {
	t.Helper()
	encoded, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	r.admin.ServeHTTP(recorder, httptest.NewRequest(method, path, bytes.NewReader(encoded)))
	if recorder.Code >= http.StatusBadRequest {
		t.Fatalf("%s %s gave status %d: %s", method, path, recorder.Code, recorder.Body)
	}
	if answer == nil {
		return
	}
	if err := json.Unmarshal(recorder.Body.Bytes(), answer); err != nil {
		t.Fatal(err)
	}
}

func (r *rig) write(t *testing.T, value string) error {
	t.Helper()
	operation := store.Operation{Verb: store.VerbSet, Key: "key", Value: []byte(value)}
	return r.store.Transact(t.Context(), []store.Operation{operation})
}

func (r *rig) read(t *testing.T) string {
	t.Helper()
	record, _, err := r.store.Get(t.Context(), "key", store.ReadOptions{})
	if err != nil {
		t.Fatal(err)
	}
	return string(record.Value)
}

func TestOutageOverTheAdminEndpoint(t *testing.T) {
	r := newRig(t)
	r.call(t, http.MethodPut, platform.PathFaults, platform.Faults{Outage: platform.OutageRefuse}, nil)
	if err := r.write(t, "1"); !store.NotWritten(err) {
		t.Fatalf("during the outage a write gave %v", err)
	}
	r.call(t, http.MethodPut, platform.PathFaults, platform.Faults{LoseAnswers: 1}, nil)
	if err := r.write(t, "2"); err == nil {
		t.Fatal("the answer was not lost")
	}
	if got := r.read(t); got != "2" {
		t.Errorf("the store holds %q", got)
	}
	var left platform.Faults
	r.call(t, http.MethodGet, platform.PathFaults, nil, &left)
	if left.LoseAnswers != 0 {
		t.Errorf("%d answers are left to lose", left.LoseAnswers)
	}
}

func TestStateIsCopiedOutAndIn(t *testing.T) {
	r := newRig(t)
	if err := r.write(t, "1"); err != nil {
		t.Fatal(err)
	}
	var older memory.State
	r.call(t, http.MethodGet, platform.PathState, nil, &older)
	if err := r.write(t, "2"); err != nil {
		t.Fatal(err)
	}
	r.call(t, http.MethodPut, platform.PathState, older, nil)
	if got := r.read(t); got != "1" {
		t.Errorf("after the restore the store holds %q", got)
	}
}

func TestCountersTellReadersAndKinds(t *testing.T) {
	r := newRig(t)
	if err := r.write(t, "1"); err != nil {
		t.Fatal(err)
	}
	options := store.ReadOptions{WaitIndex: 1, Wait: time.Millisecond}
	if _, _, err := r.store.Get(t.Context(), "key", options); err != nil {
		t.Fatal(err)
	}
	if _, err := r.store.GetMany(t.Context(), []string{"key"}, true); err != nil {
		t.Fatal(err)
	}
	var counters platform.Counters
	r.call(t, http.MethodGet, platform.PathCounters, nil, &counters)
	for _, kind := range []platform.RequestKind{platform.KindTransaction, platform.KindBlockedRead, platform.KindReadMany} {
		if counters.ByKind[kind] != 1 {
			t.Errorf("%d requests of kind %s", counters.ByKind[kind], kind)
		}
	}
	if counters.Total != 3 || counters.StoreReaders != 1 || counters.ByClient["node-1@127.0.0.1"] != 3 {
		t.Errorf("counters %+v", counters)
	}
	r.call(t, http.MethodDelete, platform.PathCounters, nil, nil)
	if total := r.server.Counters().Total; total != 0 {
		t.Errorf("%d requests after the reset", total)
	}
}

func TestSessionsLapseByTheClock(t *testing.T) {
	now := time.Unix(0, 0)
	server := platform.New(platform.Config{Now: func() time.Time { return now }})
	address, err := server.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client := consul.New(consul.Config{Address: "http://" + address})
	defer client.Close()
	const ttl = 10 * time.Second
	session, err := client.CreateSession(t.Context(), "test", ttl)
	if err != nil {
		t.Fatal(err)
	}
	if err := client.RenewSession(t.Context(), session); err != nil {
		t.Fatal(err)
	}
	server.Close()
	now = now.Add(ttl)
	recorder := httptest.NewRecorder()
	server.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodPut, "/v1/session/renew/"+session, nil))
	if recorder.Code != http.StatusNotFound {
		t.Errorf("renewing a lapsed session gave status %d", recorder.Code)
	}
}
