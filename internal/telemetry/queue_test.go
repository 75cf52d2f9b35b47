package telemetry

import (
	"context"
	"os"
	"strings"
	"sync"
	"testing"
)

// TestUnreadLogBlocksNothing logs to a pipe that is never read: the queue must drop lines rather
// than block.
func TestUnreadLogBlocksNothing(t *testing.T) {
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	queue := NewQueue(writer)
	ctx, cancel := context.WithCancel(t.Context())
	var serving sync.WaitGroup
	serving.Go(func() { _ = queue.Serve(ctx) })
	log := NewLog(queue, "n", LevelInfo)
	// Far more than the pipe and the queue hold together.
	const lines = 20 * queuedLines
	for range lines {
		log.Alarm(strings.Repeat("x", 100))
	}
	if queue.dropped.Load() == 0 {
		t.Error("nothing was dropped")
	}
	cancel()
	_ = reader.Close()
	serving.Wait()
	_ = writer.Close()
}

func TestDroppedLinesAreCounted(t *testing.T) {
	queue := NewQueue(&strings.Builder{})
	for range queuedLines + 3 {
		_, _ = queue.Write([]byte("line\n"))
	}
	queue.Drop()
	if dropped := queue.dropped.Load(); dropped != 4 {
		t.Errorf("%d dropped, want 4", dropped)
	}
}
