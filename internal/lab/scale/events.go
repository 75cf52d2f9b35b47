package scale

import (
	"io"
	"sync"

	"github.com/levertide/levertide/internal/lab/observe"
)

// eventSink hands the event lines of all nodes to the recorder and, if one is
// given, to a writer. It may be used by several goroutines.
type eventSink struct {
	recorder *observe.Recorder
	mutex    sync.Mutex
	kept     io.Writer
}

// take takes one line.
func (s *eventSink) take(line []byte) {
	s.recorder.ObserveLine(line)
	if s.kept == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, _ = s.kept.Write(line)
	_, _ = io.WriteString(s.kept, "\n")
}
