package fabric

import (
	"sync"
	"time"
)

// link is one direction between two zones.
type link struct {
	from, to ZoneNumber
}

// Links holds the one-way delays and the cuts between zones. Its methods are safe for concurrent
// use.
type Links struct {
	mutex        sync.RWMutex
	defaultDelay time.Duration
	delays       map[link]time.Duration
	cuts         map[link]struct{}
	changed      chan struct{}
}

// NewLinks returns links where every pair of different zones has the given
// one-way delay, and where traffic inside a zone has none.
func NewLinks(defaultDelay time.Duration) *Links {
	return &Links{
		defaultDelay: defaultDelay,
		delays:       make(map[link]time.Duration),
		cuts:         make(map[link]struct{}),
		changed:      make(chan struct{}),
	}
}

// SetDelay sets the one-way delay between two zones in both directions.
func (l *Links) SetDelay(a, b ZoneNumber, delay time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.delays[link{a, b}] = delay
	l.delays[link{b, a}] = delay
}

// Delay returns the one-way delay from one zone to another.
func (l *Links) Delay(from, to ZoneNumber) time.Duration {
	l.mutex.RLock()
	defer l.mutex.RUnlock()
	if delay, ok := l.delays[link{from, to}]; ok {
		return delay
	}
	if from == to {
		return 0
	}
	return l.defaultDelay
}

// CutOneWay holds back everything that goes from one zone to another.
func (l *Links) CutOneWay(from, to ZoneNumber) {
	l.change(func() { l.cuts[link{from, to}] = struct{}{} })
}

// Cut holds back everything between two zones.
func (l *Links) Cut(a, b ZoneNumber) {
	l.CutOneWay(a, b)
	l.CutOneWay(b, a)
}

// Heal ends the cuts between two zones.
func (l *Links) Heal(a, b ZoneNumber) {
	l.change(func() {
		delete(l.cuts, link{a, b})
		delete(l.cuts, link{b, a})
	})
}

// HealAll ends every cut.
func (l *Links) HealAll() {
	l.change(func() { clear(l.cuts) })
}

// change alters the cuts and wakes all goroutines that wait for a cut to heal.
func (l *Links) change(alter func()) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	alter()
	close(l.changed)
	l.changed = make(chan struct{})
}

// cutState reports whether a direction is cut, and returns a channel that is closed at the next
// change of the cuts.
func (l *Links) cutState(from, to ZoneNumber) (cut bool, changed <-chan struct{}) {
	l.mutex.RLock()
	defer l.mutex.RUnlock()
	_, cut = l.cuts[link{from, to}]
	return cut, l.changed
}

// awaitOpen waits until a direction is not cut; it returns false if stop was closed first.
func (l *Links) awaitOpen(from, to ZoneNumber, stop <-chan struct{}) bool {
	for {
		cut, changed := l.cutState(from, to)
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-stop:
			return false
		}
	}
}
