package consul_test

import (
	"fmt"
	"testing"

	"github.com/levertide/levertide/internal/lab/platform"
	"github.com/levertide/levertide/internal/platform/consul"
	"github.com/levertide/levertide/pkg/store"
)

// benchmarkValueBytes is the size of a small resource.
const benchmarkValueBytes = 200

func BenchmarkFullTransactionAndReadBack(b *testing.B) {
	b.ReportAllocs()
	server := platform.New(platform.Config{})
	defer server.Close()
	address, err := server.Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	client := consul.New(consul.Config{Address: "http://" + address})
	defer client.Close()
	keys := make([]string, store.MaxTransactionOperations)
	operations := make([]store.Operation, len(keys))
	for i := range keys {
		keys[i] = fmt.Sprintf("levertide/resource/%064d", i)
		operations[i] = store.Operation{Verb: store.VerbSet, Key: keys[i], Value: make([]byte, benchmarkValueBytes)}
	}
	for b.Loop() {
		if err := client.Transact(b.Context(), operations); err != nil {
			b.Fatal(err)
		}
		if records, err := client.GetMany(b.Context(), keys, true); err != nil || len(records) != len(keys) {
			b.Fatalf("%d records, %v", len(records), err)
		}
	}
}
