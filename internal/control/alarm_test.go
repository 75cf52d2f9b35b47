package control

import "testing"

// alarmCounter counts the alarms that become events.
type alarmCounter struct {
	NoEvents
	count int
}

func (a *alarmCounter) Alarm(string) { a.count++ }

// TestAlarmIsRaisedOnce guards against repeated alarms: a node whose name was used
// by two processes wrote the same alarm many times a second.
func TestAlarmIsRaisedOnce(t *testing.T) {
	t.Parallel()
	counter := &alarmCounter{}
	node := newMesh(t).start("a0", "a", "ledger", func(config *Config) { config.Events = counter })
	node.mutex.Lock()
	defer node.mutex.Unlock()
	for range 3 {
		node.alarm("another process uses the name")
	}
	node.alarm("something else")
	if counter.count != 2 {
		t.Errorf("%d events for two alarms", counter.count)
	}
}
