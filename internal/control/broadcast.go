package control

import "sync"

// broadcast wakes all goroutines that wait on one channel. The zero value is ready to use.
type broadcast struct {
	mutex   sync.Mutex
	channel chan struct{}
}

// wait returns a channel that is closed at the next wake.
func (b *broadcast) wait() <-chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.channel == nil {
		b.channel = make(chan struct{})
	}
	return b.channel
}

// wake closes the channel that wait has returned.
func (b *broadcast) wake() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.channel == nil {
		return
	}
	close(b.channel)
	b.channel = nil
}
