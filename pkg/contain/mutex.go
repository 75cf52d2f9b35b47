package contain

import "sync"

// Mutex is a sync.Mutex that notices a panic in its critical section: what it protects may be half
// changed from then on, and Lock panics with a *Broken. It notices only where Unlock itself is
// deferred. The zero value is unlocked.
type Mutex struct {
	mu     sync.Mutex
	broken *Broken
}

// Broken is the value of a panic about state that an earlier panic has left half changed.
type Broken struct{ value, stack string }

// Error implements error.
func (b *Broken) Error() string { return "state is half changed after a panic: " + b.value }

// Lock locks the mutex.
func (m *Mutex) Lock() {
	m.mu.Lock()
	if broken := m.broken; broken != nil {
		m.mu.Unlock()
		panic(broken)
	}
}

// Unlock unlocks the mutex. Defer it wherever the critical section can panic.
func (m *Mutex) Unlock() {
	value := recover()
	if value == nil {
		m.mu.Unlock()
		return
	}
	broken, again := value.(*Broken)
	if !again {
		broken = &Broken{value: textOf(value), stack: stack()}
	}
	m.broken = broken
	m.mu.Unlock()
	panic(broken)
}
