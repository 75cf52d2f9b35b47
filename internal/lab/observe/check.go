package observe

import (
	"fmt"
	"slices"
)

// Rule names what a violation broke.
type Rule string

// The rules that are checked from event lines.
const (
	// RuleNeverOlder: no node runs a lower version than one it ran before,
	// restarts included.
	RuleNeverOlder Rule = "never-older"
	// RuleOnlyCommitted: no node runs a version that was not committed.
	RuleOnlyCommitted Rule = "only-committed"
	// RuleComplete: the configuration that a node runs is complete and refers to nothing
	// that it lacks.
	RuleComplete Rule = "whole"
)

// Violation is one breach of a rule.
type Violation struct {
	Rule   Rule   `json:"rule"`
	Node   string `json:"node"`
	Detail string `json:"detail"`
}

// String returns the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s: %s", v.Rule, v.Node, v.Detail)
}

// checkStep checks that a node's new version is not lower than any that it ran before.
func (r *Recorder) checkStep(event Event, history *nodeHistory) {
	if highest := history.highest(); event.Version < highest {
		r.violations = append(r.violations, Violation{
			Rule:   RuleNeverOlder,
			Node:   event.Node,
			Detail: fmt.Sprintf("version %d in force after version %d", event.Version, highest),
		})
	}
}

// Report adds a violation found elsewhere.
func (r *Recorder) Report(violation Violation) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.violations = append(r.violations, violation)
}

// CheckCommitted checks that every version that was ever in force anywhere is
// among the committed ones.
func (r *Recorder) CheckCommitted(committed []uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for node, history := range r.nodes {
		for _, taken := range history.steps {
			if slices.Contains(committed, taken.version) {
				continue
			}
			r.violations = append(r.violations, Violation{
				Rule:   RuleOnlyCommitted,
				Node:   node,
				Detail: fmt.Sprintf("version %d was in force and is not committed", taken.version),
			})
		}
	}
}

// Violations returns every violation found so far.
func (r *Recorder) Violations() []Violation {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.violations)
}
