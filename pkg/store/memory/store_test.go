package memory_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/store"
	"github.com/levertide/levertide/pkg/store/memory"
)

const key = "key"

func write(t *testing.T, s *memory.Store, value string) {
	t.Helper()
	operation := store.Operation{Verb: store.VerbSet, Key: key, Value: []byte(value)}
	if err := s.Transact(t.Context(), []store.Operation{operation}); err != nil {
		t.Fatal(err)
	}
}

// TestBlockedReadEnds checks that a write, a restore and the time limit each end a
// blocked read.
func TestBlockedReadEnds(t *testing.T) {
	cases := map[string]struct {
		end  func(*testing.T, *memory.Store, memory.State)
		want string
	}{
		"by a write":   {func(t *testing.T, s *memory.Store, _ memory.State) { write(t, s, "3") }, "3"},
		"by a restore": {func(_ *testing.T, s *memory.Store, older memory.State) { s.Restore(older) }, "1"},
		"by time":      {func(_ *testing.T, s *memory.Store, _ memory.State) { s.Advance(time.Minute) }, "2"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := memory.New(memory.Options{})
				write(t, s, "1")
				older := s.State()
				write(t, s, "2")
				answered := make(chan string)
				go func() {
					options := store.ReadOptions{WaitIndex: s.State().Index, Wait: time.Minute}
					record, _, _ := s.Get(t.Context(), key, options)
					answered <- string(record.Value)
				}()
				synctest.Wait()
				test.end(t, s, older)
				if got := <-answered; got != test.want {
					t.Errorf("read %q", got)
				}
			})
		})
	}
}

// TestHeldBackWriteIsComparedOnDelivery checks that a delayed compare-and-swap
// compares the index when it is delivered, and so does not overwrite a later write.
func TestHeldBackWriteIsComparedOnDelivery(t *testing.T) {
	fault := memory.FaultHoldBack
	s := memory.New(memory.Options{Intercept: func(memory.Request) memory.Fault { return fault }})
	create := store.Operation{Verb: store.VerbCompareAndSwap, Key: key, Value: []byte("first")}
	if err := s.Transact(t.Context(), []store.Operation{create}); !errorx.IsOfType(err, store.ErrUnknownOutcome) {
		t.Fatalf("the write held back gave %v", err)
	}
	fault = memory.FaultNone
	write(t, s, "second")
	if delivered := s.DeliverHeld(); delivered != 1 {
		t.Errorf("%d writes were held back", delivered)
	}
	if record, _, _ := s.Get(t.Context(), key, store.ReadOptions{}); string(record.Value) != "second" {
		t.Errorf("the record holds %q", record.Value)
	}
}

func TestStateIsACopy(t *testing.T) {
	s := memory.New(memory.Options{})
	write(t, s, "1")
	state := s.State()
	state.Records[0].Value[0] = 'x'
	if record, _, _ := s.Get(t.Context(), key, store.ReadOptions{}); string(record.Value) != "1" {
		t.Errorf("the record holds %q", record.Value)
	}
}
