package hosted

import (
	"context"
	"testing"
)

// TestReadAnswersOnlyThoseThatAskedBeforeIt has a node ask while an earlier read is under way.
func TestReadAnswersOnlyThoseThatAskedBeforeIt(t *testing.T) {
	begun, answer := make(chan struct{}), make(chan []Entry)
	shared := sharedDirectory{list: func(context.Context) ([]Entry, error) {
		begun <- struct{}{}
		return <-answer, nil
	}}
	results := make(chan Entry)
	ask := func(id string) {
		go func() {
			e, err := shared.entry(t.Context(), id)
			if err != nil {
				t.Error(err)
			}
			results <- e
		}()
	}
	ask("a")
	<-begun
	ask("b") // the read under way began before this call
	shared.awaitNext(t)
	answer <- []Entry{{ID: "a", Revision: 1}, {ID: "b", Revision: 2}}
	if e := <-results; e.ID != "a" || e.Revision != 1 {
		t.Errorf("%+v", e)
	}
	<-begun
	answer <- []Entry{{ID: "b", Revision: 3}}
	if e := <-results; e.ID != "b" || e.Revision != 3 {
		t.Errorf("%+v", e)
	}
}

// awaitNext waits until a call waits for the next read.
func (s *sharedDirectory) awaitNext(t *testing.T) {
	t.Helper()
	for t.Context().Err() == nil {
		s.mu.Lock()
		waits := s.next != nil
		s.mu.Unlock()
		if waits {
			return
		}
	}
}

// TestFailedReadIsReportedToAllThatWait has a read fail.
func TestFailedReadIsReportedToAllThatWait(t *testing.T) {
	shared := sharedDirectory{list: func(context.Context) ([]Entry, error) { return nil, ErrRefused.New("refused") }}
	if _, err := shared.entry(t.Context(), "a"); err == nil {
		t.Error("no error")
	}
}
