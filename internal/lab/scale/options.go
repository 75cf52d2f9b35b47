package scale

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/levertide/levertide/internal/lab/experiment"
)

// Options describes one run.
type Options struct {
	Size experiment.Size
	Seed uint64
	// Lab and Levertided are the paths of the programs that the run starts.
	Lab        string
	Levertided string
	// Progress takes lines for people.
	Progress io.Writer
	// Events takes every event line of every node; nil drops them.
	Events io.Writer
}

// progress prints lines with the time since the start.
type progress struct {
	mutex   sync.Mutex
	started time.Time
	output  io.Writer
}

// say prints one line.
func (p *progress) say(format string, arguments ...any) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	fmt.Fprintf(p.output, "%7.1fs  %s\n", time.Since(p.started).Seconds(), fmt.Sprintf(format, arguments...))
}
