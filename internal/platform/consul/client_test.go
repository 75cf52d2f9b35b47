package consul_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/internal/lab/platform"
	"github.com/levertide/levertide/internal/platform/consul"
	"github.com/levertide/levertide/internal/platform/consul/wire"
	"github.com/levertide/levertide/internal/testaddress"
	"github.com/levertide/levertide/pkg/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestErrorsOfWrites(t *testing.T) {
	cases := map[string]struct {
		faults  platform.Faults
		want    *errorx.Type
		written bool
	}{
		"refused":      {faults: platform.Faults{Outage: platform.OutageRefuse}, want: store.ErrUnreachable},
		"closed":       {faults: platform.Faults{Outage: platform.OutageClose}, want: store.ErrUnknownOutcome},
		"no leader":    {faults: platform.Faults{Outage: platform.OutageNoLeader}, want: store.ErrUnreachable},
		"request lost": {faults: platform.Faults{LoseRequests: 1}, want: store.ErrUnknownOutcome},
		"answer lost":  {faults: platform.Faults{LoseAnswers: 1}, want: store.ErrUnknownOutcome, written: true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			server, client := standIn(t)
			server.SetFaults(test.faults)
			requireType(t, client.Transact(t.Context(), []store.Operation{set("a", "1")}), test.want)
			if test.faults.Outage != platform.OutageNone {
				_, _, err := client.Get(t.Context(), "a", store.ReadOptions{})
				requireType(t, err, store.ErrUnreachable)
			}
			server.SetFaults(platform.Faults{})
			_, _, err := client.Get(t.Context(), "a", store.ReadOptions{})
			if written := err == nil; written != test.written {
				t.Errorf("the write took effect: %v", written)
			}
		})
	}
}

func TestRateLimitIsReported(t *testing.T) {
	server, client := standIn(t)
	server.SetFaults(platform.Faults{RequestsPerSecond: 1e-6, Burst: 1})
	transact(t, client, set("a", "1"))
	requireType(t, client.Transact(t.Context(), []store.Operation{set("a", "2")}), store.ErrRateLimited)
	if refused := server.Counters().Refused; refused != 1 {
		t.Errorf("%d requests counted as refused", refused)
	}
}

func TestStatusesOfThePublishedAPI(t *testing.T) {
	cases := []struct {
		status int
		body   string
		want   *errorx.Type
	}{
		{http.StatusInternalServerError, "rpc error: leadership lost while committing log", store.ErrUnknownOutcome},
		{http.StatusInternalServerError, wire.TextNoLeader, store.ErrUnreachable},
		{http.StatusServiceUnavailable, wire.TextRateLimit, store.ErrRateLimited},
		{http.StatusBadGateway, "", store.ErrUnknownOutcome},
		{http.StatusForbidden, "Permission denied", store.ErrRefused},
		{http.StatusBadRequest, "bad", store.ErrRefused},
		{http.StatusRequestEntityTooLarge, "too large", store.ErrTooLarge},
		{http.StatusOK, "{cut sh", store.ErrUnknownOutcome},
	}
	for _, test := range cases {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			writer.WriteHeader(test.status)
			_, _ = writer.Write([]byte(test.body))
		}))
		client := consul.New(consul.Config{Address: server.URL})
		err := client.Transact(t.Context(), []store.Operation{set("a", "1")})
		if !errorx.IsOfType(err, test.want) {
			t.Errorf("status %d %q gave %v", test.status, test.body, err)
		}
		client.Close()
		server.Close()
	}
}

func TestRetryAfterIsCarried(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set(wire.HeaderRetryAfter, "7")
		writer.WriteHeader(http.StatusTooManyRequests)
	}))
	defer server.Close()
	client := consul.New(consul.Config{Address: server.URL})
	defer client.Close()
	_, err := client.List(t.Context(), "a")
	if pause := store.RetryAfter(err); pause != 7*time.Second {
		t.Errorf("retry after %v, %v", pause, err)
	}
}

func TestLapsedSession(t *testing.T) {
	server, client := standIn(t)
	session, err := client.CreateSession(t.Context(), "test", testTTL)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Acquire(t.Context(), "lock", nil, session); err != nil {
		t.Fatal(err)
	}
	server.SetFaults(platform.Faults{LockDelay: time.Hour})
	if lapsed := server.LapseSessions(); lapsed != 1 {
		t.Fatalf("%d sessions lapsed", lapsed)
	}
	requireType(t, client.RenewSession(t.Context(), session), store.ErrSessionGone)
	other, err := client.CreateSession(t.Context(), "other", testTTL)
	if err != nil {
		t.Fatal(err)
	}
	if acquired, err := client.Acquire(t.Context(), "lock", nil, other); err != nil || acquired {
		t.Errorf("within the lock delay acquire gave %v, %v", acquired, err)
	}
	_, err = client.CreateSession(t.Context(), "short", time.Second)
	requireType(t, err, store.ErrRefused)
}

func TestIndexGoesBackWithARestore(t *testing.T) {
	server, client := standIn(t)
	transact(t, client, set("a", "1"))
	older := server.State()
	transact(t, client, set("a", "2"))
	index := get(t, client, "a").ModifyIndex
	server.Restore(older)
	options := store.ReadOptions{WaitIndex: index, Wait: time.Millisecond}
	record, next, err := client.Get(t.Context(), "a", options)
	if err != nil || next >= index || string(record.Value) != "1" {
		t.Errorf("after the restore %+v, index %d, was %d, %v", record, next, index, err)
	}
}

func TestMachineListLagsAndMarksLeaving(t *testing.T) {
	now := time.Unix(0, 0)
	server := platform.New(platform.Config{Now: func() time.Time { return now }})
	defer server.Close()
	address, err := server.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client := consul.New(consul.Config{Address: "http://" + address})
	defer client.Close()
	server.SetFaults(platform.Faults{MachineListLag: time.Second})
	register(t, address, wire.ServiceRegistration{
		ID:   "node-1",
		Name: wire.ServiceName,
		Meta: map[string]string{wire.MetaRegion: "nl", wire.MetaZone: "west-1", wire.MetaControlAddress: "127.0.0.1:1"},
	})
	machines, err := client.Machines(t.Context())
	if err != nil || len(machines) != 0 {
		t.Errorf("before the lag: %+v, %v", machines, err)
	}
	server.SetFaults(platform.Faults{})
	server.SetLeaving("node-1", true)
	want := store.Machine{Node: "node-1", Region: "nl", Zone: "west-1", ControlAddress: netip.MustParseAddrPort("127.0.0.1:1"), Leaving: true}
	machines, err = client.Machines(t.Context())
	if err != nil || len(machines) != 1 || machines[0] != want {
		t.Errorf("after the lag: %+v, %v", machines, err)
	}
	server.Deregister("node-1")
	if machines, err := client.Machines(t.Context()); err != nil || len(machines) != 0 {
		t.Errorf("after leaving: %+v, %v", machines, err)
	}
}

// TestMachinesOfOddAddressesCostTheListNothingElse guards against a list of machines that is lost for one of
// them, and against machines that nobody can reach.
func TestMachinesOfOddAddressesCostTheListNothingElse(t *testing.T) {
	server := platform.New(platform.Config{})
	defer server.Close()
	address, err := server.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client := consul.New(consul.Config{Address: "http://" + address})
	defer client.Close()
	for i, text := range append(testaddress.Odd, "127.0.0.1:1") {
		register(t, address, wire.ServiceRegistration{
			ID: fmt.Sprint("node-", i), Name: wire.ServiceName, Meta: map[string]string{wire.MetaControlAddress: text},
		})
	}
	machines, err := client.Machines(t.Context())
	if err != nil || len(machines) != len(testaddress.Odd)+1 {
		t.Fatalf("%d machines, %v", len(machines), err)
	}
	for _, machine := range machines {
		good := machine.Node == fmt.Sprint("node-", len(testaddress.Odd))
		if machine.ControlAddress.IsValid() != good || (machine.Invalid == nil) != good {
			t.Errorf("%+v", machine)
		}
	}
}

func register(t *testing.T, address string, registration wire.ServiceRegistration) {
	t.Helper()
	body, err := json.Marshal(registration)
	if err != nil {
		t.Fatal(err)
	}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+address+wire.PathServiceRegister, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Close = true
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("registration gave status %d", response.StatusCode)
	}
}
