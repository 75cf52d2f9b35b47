package sim

import (
	"container/heap"
	"time"
)

// event is an action at a moment of simulated time.
type event struct {
	at       time.Duration
	sequence uint64
	name     string
	run      func()
}

// eventQueue is a heap of events, ordered by time and then by when they were scheduled.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(item any) { *q = append(*q, item.(*event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	item := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return item
}

// scheduler holds the simulated time and the events to come.
type scheduler struct {
	now      time.Duration
	queue    eventQueue
	sequence uint64
}

// after schedules an event.
func (s *scheduler) after(delay time.Duration, name string, run func()) {
	s.sequence++
	heap.Push(&s.queue, &event{at: s.now + delay, sequence: s.sequence, name: name, run: run})
}

// next removes the earliest event and advances the time to it.
func (s *scheduler) next() *event {
	earliest := heap.Pop(&s.queue).(*event)
	s.now = earliest.at
	return earliest
}
