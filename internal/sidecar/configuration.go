package sidecar

import (
	"sync"
	"sync/atomic"

	"github.com/levertide/levertide/internal/forwarding"
	"github.com/levertide/levertide/internal/hosted"
	"github.com/levertide/levertide/pkg/routing"
	"github.com/levertide/levertide/pkg/snapshot"
)

// configuration holds the version in force. Documents are built whole beside it
// and swapped in; the version never falls.
type configuration struct {
	translate func(content []byte) (Translation, error)
	inForce   func(version uint64, routes int)

	mutex   sync.Mutex
	current atomic.Pointer[forwarding.Configuration]
}

// Offer implements hosted.Consumer.
func (c *configuration) Offer(content []byte) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	translation, err := c.translate(content)
	if err != nil {
		return err
	}
	if held := c.current.Load(); held != nil && held.Table.Version() >= translation.Version {
		return nil
	}
	built, err := snapshot.New(translation.Version, translation.Resources)
	if err != nil {
		return hosted.ErrInvalidDocument.Wrap(err, "version %d", translation.Version)
	}
	table, err := routing.Compile(built)
	if err != nil {
		return hosted.ErrInvalidDocument.Wrap(err, "version %d", translation.Version)
	}
	c.current.Store(&forwarding.Configuration{Table: table, MaximumBody: translation.MaximumBody})
	c.inForce(translation.Version, table.Len())
	return nil
}
