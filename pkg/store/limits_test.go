package store_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/store"
)

func TestEncodedSizeIsNeverTooLow(t *testing.T) {
	for _, size := range []int{0, 1, 2, 3, 4, 1000, store.MaxValueBytes} {
		operation := store.Operation{
			Verb:  store.VerbCheckIndex,
			Key:   "levertide/resource/0123456789",
			Value: bytes.Repeat([]byte{0xff}, size),
			Index: 1<<64 - 1,
		}
		type step struct{ KV store.Operation }
		encoded, err := json.Marshal([]step{{KV: operation}})
		if err != nil {
			t.Fatal(err)
		}
		if len(encoded) > operation.EncodedSize() {
			t.Errorf("a value of %d bytes is encoded in %d, estimated at %d", size, len(encoded), operation.EncodedSize())
		}
	}
}

func TestTransactionBounds(t *testing.T) {
	tooMany := make([]store.Operation, store.MaxTransactionOperations+1)
	tooLarge := []store.Operation{{Value: make([]byte, store.MaxValueBytes)}, {Value: make([]byte, store.MaxValueBytes)}}
	for _, operations := range [][]store.Operation{tooMany, tooLarge} {
		if err := store.CheckTransactionSize(operations); !errorx.IsOfType(err, store.ErrTooLarge) {
			t.Errorf("%d operations gave %v", len(operations), err)
		}
	}
	if err := store.CheckTransactionSize(tooMany[1:]); err != nil {
		t.Errorf("the largest transaction gave %v", err)
	}
}
