package consul_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/internal/lab/platform"
	"github.com/levertide/levertide/internal/platform/consul"
	"github.com/levertide/levertide/pkg/store"
	"github.com/levertide/levertide/pkg/store/memory"
)

const testTTL = 10 * time.Second

// standIn starts the stand-in of the platform and returns it with a client of it.
func standIn(t *testing.T) (*platform.Server, *consul.Client) {
	t.Helper()
	server := platform.New(platform.Config{Seed: 1})
	t.Cleanup(server.Close)
	address, err := server.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client := consul.New(consul.Config{Address: "http://" + address, Client: "node-1"})
	t.Cleanup(client.Close)
	return server, client
}

// TestConformance checks that the in-memory store and the Consul client, connected to
// the stand-in, answer alike.
func TestConformance(t *testing.T) {
	implementations := map[string]func(*testing.T) store.Store{
		"memory": func(*testing.T) store.Store { return memory.New(memory.Options{}) },
		"consul": func(t *testing.T) store.Store {
			_, client := standIn(t)
			return client
		},
	}
	cases := map[string]func(*testing.T, store.Store){
		"read and write":       readAndWrite,
		"compare and swap":     compareAndSwap,
		"all or nothing":       allOrNothing,
		"check index":          checkIndex,
		"lists":                lists,
		"blocked read":         blockedRead,
		"blocked read is over": blockedReadIsOver,
		"sessions":             sessions,
		"too large":            tooLarge,
	}
	for implementation, open := range implementations {
		for name, check := range cases {
			t.Run(implementation+" "+name, func(t *testing.T) { check(t, open(t)) })
		}
	}
}

func set(key, value string) store.Operation {
	return store.Operation{Verb: store.VerbSet, Key: key, Value: []byte(value)}
}

func transact(t *testing.T, s store.Store, operations ...store.Operation) {
	t.Helper()
	if err := s.Transact(t.Context(), operations); err != nil {
		t.Fatal(err)
	}
}

func get(t *testing.T, s store.Store, key string) store.Record {
	t.Helper()
	record, index, err := s.Get(t.Context(), key, store.ReadOptions{Consistent: true})
	if err != nil || index != record.ModifyIndex {
		t.Fatalf("get %s: index %d, record %+v, %v", key, index, record, err)
	}
	return record
}

func requireType(t *testing.T, err error, want *errorx.Type) {
	t.Helper()
	if !errorx.IsOfType(err, want) {
		t.Fatalf("got error %v, want %s", err, want.FullName())
	}
}

func readAndWrite(t *testing.T, s store.Store) {
	_, index, err := s.Get(t.Context(), "a", store.ReadOptions{})
	requireType(t, err, store.ErrNotFound)
	if index == 0 {
		t.Error("a missing key has no index to wait on")
	}
	transact(t, s, set("a", "\x00binary"), set("b", ""))
	if record := get(t, s, "a"); string(record.Value) != "\x00binary" {
		t.Errorf("read %q", record.Value)
	}
	before := get(t, s, "b")
	transact(t, s, set("b", ""))
	if after := get(t, s, "b"); after.ModifyIndex != before.ModifyIndex {
		t.Error("writing the value that a key already has raised its index")
	}
	transact(t, s, store.Operation{Verb: store.VerbDelete, Key: "b"}, store.Operation{Verb: store.VerbDelete, Key: "missing"})
	_, _, err = s.Get(t.Context(), "b", store.ReadOptions{})
	requireType(t, err, store.ErrNotFound)
}

func compareAndSwap(t *testing.T, s store.Store) {
	create := store.Operation{Verb: store.VerbCompareAndSwap, Key: "a", Value: []byte("1")}
	transact(t, s, create)
	requireType(t, s.Transact(t.Context(), []store.Operation{create}), store.ErrConflict)
	record := get(t, s, "a")
	swap := store.Operation{Verb: store.VerbCompareAndSwap, Key: "a", Value: []byte("2"), Index: record.ModifyIndex}
	transact(t, s, swap)
	requireType(t, s.Transact(t.Context(), []store.Operation{swap}), store.ErrConflict)
	swap.Key = "missing"
	requireType(t, s.Transact(t.Context(), []store.Operation{swap}), store.ErrConflict)
}

func allOrNothing(t *testing.T, s store.Store) {
	transact(t, s, set("a", "1"))
	failing := store.Operation{Verb: store.VerbCompareAndSwap, Key: "a", Value: []byte("2")}
	requireType(t, s.Transact(t.Context(), []store.Operation{set("b", "1"), failing}), store.ErrConflict)
	_, _, err := s.Get(t.Context(), "b", store.ReadOptions{})
	requireType(t, err, store.ErrNotFound)
}

func checkIndex(t *testing.T, s store.Store) {
	absent := store.Operation{Verb: store.VerbCheckIndex, Key: "a"}
	transact(t, s, absent, set("a", "1"))
	requireType(t, s.Transact(t.Context(), []store.Operation{absent, set("b", "1")}), store.ErrConflict)
	present := store.Operation{Verb: store.VerbCheckIndex, Key: "a", Index: get(t, s, "a").ModifyIndex}
	transact(t, s, present, set("b", "1"))
	present.Index++
	requireType(t, s.Transact(t.Context(), []store.Operation{present, set("b", "2")}), store.ErrConflict)
}

func lists(t *testing.T, s store.Store) {
	transact(t, s, set("x/b", "2"), set("x/a", "1"), set("y", "3"))
	keys, err := s.ListKeys(t.Context(), "x/")
	if err != nil || !slices.Equal(keys, []string{"x/a", "x/b"}) {
		t.Errorf("keys %v, %v", keys, err)
	}
	records, err := s.List(t.Context(), "x/")
	if err != nil || len(records) != 2 || records[0].Key != "x/a" || string(records[1].Value) != "2" {
		t.Errorf("records %+v, %v", records, err)
	}
	if keys, err := s.ListKeys(t.Context(), "none/"); err != nil || len(keys) != 0 {
		t.Errorf("keys below an empty prefix: %v, %v", keys, err)
	}
	found, err := s.GetMany(t.Context(), []string{"y", "missing", "x/a"}, true)
	if err != nil || len(found) != 2 || found[0].Key != "y" || found[1].Key != "x/a" {
		t.Errorf("found %+v, %v", found, err)
	}
}

func blockedRead(t *testing.T, s store.Store) {
	transact(t, s, set("a", "1"))
	index := get(t, s, "a").ModifyIndex
	answered := make(chan store.Record, 1)
	go func() {
		record, _, _ := s.Get(context.Background(), "a", store.ReadOptions{WaitIndex: index, Wait: time.Minute})
		answered <- record
	}()
	transact(t, s, set("other", "1"))
	transact(t, s, set("a", "2"))
	if record := <-answered; string(record.Value) != "2" {
		t.Errorf("the blocked read answered %q", record.Value)
	}
}

func blockedReadIsOver(t *testing.T, s store.Store) {
	transact(t, s, set("a", "1"))
	index := get(t, s, "a").ModifyIndex
	record, next, err := s.Get(t.Context(), "a", store.ReadOptions{WaitIndex: index, Wait: 0})
	if err != nil || next != index || string(record.Value) != "1" {
		t.Errorf("got %+v, %d, %v", record, next, err)
	}
}

func sessions(t *testing.T, s store.Store) {
	first, err := s.CreateSession(t.Context(), "first", testTTL)
	if err != nil {
		t.Fatal(err)
	}
	second, err := s.CreateSession(t.Context(), "second", testTTL)
	if err != nil {
		t.Fatal(err)
	}
	acquire := func(session string, want bool) {
		t.Helper()
		if acquired, err := s.Acquire(t.Context(), "lock", []byte(session), session); err != nil || acquired != want {
			t.Fatalf("acquire gave %v, %v", acquired, err)
		}
	}
	acquire(first, true)
	acquire(first, true)
	acquire(second, false)
	if record := get(t, s, "lock"); record.Session != first {
		t.Errorf("the holder is %q", record.Session)
	}
	if err := s.Release(t.Context(), "lock", first); err != nil {
		t.Fatal(err)
	}
	acquire(second, true)
	if err := s.DestroySession(t.Context(), second); err != nil {
		t.Fatal(err)
	}
	acquire(first, true)
	requireType(t, s.RenewSession(t.Context(), second), store.ErrSessionGone)
	if err := s.RenewSession(t.Context(), first); err != nil {
		t.Fatal(err)
	}
	_, err = s.Acquire(t.Context(), "lock", nil, second)
	requireType(t, err, store.ErrSessionGone)
}

func tooLarge(t *testing.T, s store.Store) {
	large := store.Operation{Verb: store.VerbSet, Key: "a", Value: make([]byte, store.MaxTransactionBytes)}
	requireType(t, s.Transact(t.Context(), []store.Operation{large}), store.ErrTooLarge)
	_, err := s.GetMany(t.Context(), make([]string, store.MaxTransactionOperations+1), false)
	requireType(t, err, store.ErrTooLarge)
}
