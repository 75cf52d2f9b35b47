package observe

import (
	"encoding/json"
	"time"
)

// EventNumber is the number of an event in the nodes' catalogue.
type EventNumber int

// The events that experiments read; docs/EVENTS.md lists all of them.
const (
	EventListening        EventNumber = 102
	EventReady            EventNumber = 103
	EventUnready          EventNumber = 104
	EventStopped          EventNumber = 108
	EventPartFailed       EventNumber = 109
	EventStartFailed      EventNumber = 111
	EventVersionStaged    EventNumber = 201
	EventVersionInForce   EventNumber = 202
	EventVersionRefused   EventNumber = 203
	EventFloorLearned     EventNumber = 204
	EventVersionCommitted EventNumber = 206
	EventParentChanged    EventNumber = 301
	EventRoleChanged      EventNumber = 302
	EventMemberLost       EventNumber = 303
	EventStoreUnreachable EventNumber = 402
	EventStoreRegressed   EventNumber = 403
	EventAlarm            EventNumber = 404
)

// Event is one event line of a node, with the fields that experiments use.
type Event struct {
	Time    time.Time   `json:"time"`
	Node    string      `json:"node"`
	Number  EventNumber `json:"event"`
	Name    string      `json:"name"`
	Version uint64      `json:"version"`
	Digest  string      `json:"digest"`
	Reason  string      `json:"reason"`
	Role    string      `json:"role"`
	Error   string      `json:"error"`
	Text    string      `json:"text"`
	// Unreported is the number of nodes that had not reported when a version was committed.
	Unreported uint32 `json:"silent"`
	// The addresses are set in EventListening only.
	CallerAddress string `json:"caller_address"`
	AdminAddress  string `json:"admin_address"`
}

// ParseEvent parses one line; it returns false when the line is no event.
func ParseEvent(line []byte) (Event, bool) {
	var event Event
	if json.Unmarshal(line, &event) != nil {
		return Event{}, false
	}
	return event, event.Number != 0
}
