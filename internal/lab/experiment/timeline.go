package experiment

import "time"

// Event is one step of the timeline. Exactly one of its actions is set.
type Event struct {
	// At is the time since the timeline started.
	At time.Duration `yaml:"at" validate:"min=0"`
	// Name identifies the step in reports.
	Name string `yaml:"name" validate:"required"`

	Apply   *Apply  `yaml:"apply" validate:"omitempty"`
	Race    *Race   `yaml:"race" validate:"omitempty"`
	Kill    *Target `yaml:"kill" validate:"omitempty"`
	Restart *Target `yaml:"restart" validate:"omitempty"`
	Stop    *Target `yaml:"stop" validate:"omitempty"`
	Pause   *Pause  `yaml:"pause" validate:"omitempty"`
	Cut     *Cut    `yaml:"cut" validate:"omitempty"`
	Outage  *Outage `yaml:"storeOutage" validate:"omitempty"`
	Slow    *Slow   `yaml:"storeSlow" validate:"omitempty"`
	Lost    *Lost   `yaml:"storeLosesAnswers" validate:"omitempty"`
}

// Outcome is the expected result of an apply.
type Outcome string

// The outcomes of an apply.
const (
	OutcomeAccepted Outcome = "accepted"
	OutcomeRejected Outcome = "rejected"
	OutcomeConflict Outcome = "conflict"
)

// Apply applies directories as one set.
type Apply struct {
	Files  []string `yaml:"files" validate:"required,min=1,dive,required"`
	Expect Outcome  `yaml:"expect" validate:"oneof=accepted rejected conflict"`
}

// Race applies two sets at the same time, both based on the same version.
// Exactly one of them is to be accepted.
type Race struct {
	First  []string `yaml:"first" validate:"required,min=1,dive,required"`
	Second []string `yaml:"second" validate:"required,min=1,dive,required"`
}

// Target selects nodes. Exactly one of Node and Zone is set.
type Target struct {
	// Node is "<service>-<number>" or "gateway-<number>", counted from 1.
	Node string `yaml:"node"`
	// Zone selects every node of a zone.
	Zone string `yaml:"zone"`
}

// Pause suspends a node's process for a while.
type Pause struct {
	Node string        `yaml:"node" validate:"required"`
	For  time.Duration `yaml:"for" validate:"gt=0"`
}

// Cut holds back traffic between two zones for a while.
type Cut struct {
	From   string        `yaml:"from" validate:"required"`
	To     string        `yaml:"to" validate:"required,nefield=From"`
	OneWay bool          `yaml:"oneWay"`
	For    time.Duration `yaml:"for" validate:"gt=0"`
}

// Outage makes the store unreachable for a while.
type Outage struct {
	For time.Duration `yaml:"for" validate:"gt=0"`
}

// Slow delays each answer of the store for a while.
type Slow struct {
	Delay time.Duration `yaml:"delay" validate:"gt=0"`
	For   time.Duration `yaml:"for" validate:"gt=0"`
}

// Lost makes the store lose the answers of writes that took effect.
type Lost struct {
	Count int `yaml:"count" validate:"min=1,max=1000"`
}

// actions returns how many actions are set.
func (e Event) actions() int {
	set := 0
	for _, present := range []bool{
		e.Apply != nil, e.Race != nil, e.Kill != nil, e.Restart != nil, e.Stop != nil,
		e.Pause != nil, e.Cut != nil, e.Outage != nil, e.Slow != nil, e.Lost != nil,
	} {
		if present {
			set++
		}
	}
	return set
}
