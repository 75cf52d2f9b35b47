// Package testlog holds logs in memory for tests. Only tests import it.
package testlog

import (
	"strings"
	"sync"
)

// Buffer is a log that may be read while several goroutines write to it. The zero value is empty.
type Buffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// String returns what was written so far.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
