// Package changes shows operators what differs between two snapshots. The
// values of secrets and the keys of tenants are never shown, nor anything derived from them.
package changes

import (
	"fmt"
	"io"

	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/snapshot"
)

// Action says what happens to a resource.
type Action string

// The actions.
const (
	Added   Action = "added"
	Changed Action = "changed"
	Removed Action = "removed"
)

// mark returns the sign that precedes the change in text output.
func (a Action) mark() string {
	switch a {
	case Added:
		return "+"
	case Removed:
		return "-"
	default:
		return "~"
	}
}

// Change is one resource that differs.
type Change struct {
	Action Action     `json:"action"`
	Kind   model.Kind `json:"kind"`
	Name   string     `json:"name"`
	// Fields lists what differs in a resource that was changed; it is left out
	// for secrets.
	Fields []FieldChange `json:"fields,omitempty"`
}

// FieldChange is one field that differs. From and To are empty where the field is
// not set.
type FieldChange struct {
	Field string `json:"field"`
	From  string `json:"from"`
	To    string `json:"to"`
}

// Between lists the changes from one snapshot to another, ordered by kind and name.
func Between(base, target *snapshot.Snapshot) []Change {
	delta := snapshot.Diff(base, target)
	changes := make([]Change, 0, len(delta.Upserts)+len(delta.Removed))
	removed := delta.Removed
	for _, resource := range delta.Upserts {
		for len(removed) > 0 && removed[0].Less(resource.Key) {
			changes = append(changes, ofRemoved(removed[0]))
			removed = removed[1:]
		}
		changes = append(changes, ofUpsert(base, resource))
	}
	for _, key := range removed {
		changes = append(changes, ofRemoved(key))
	}
	return changes
}

func ofRemoved(key model.Key) Change {
	return Change{Action: Removed, Kind: key.Kind, Name: key.Name}
}

func ofUpsert(base *snapshot.Snapshot, resource model.Resource) Change {
	change := Change{Action: Added, Kind: resource.Key.Kind, Name: resource.Key.Name}
	before, found := base.Resource(resource.Key)
	if !found {
		return change
	}
	change.Action = Changed
	change.Fields = compareFields(fieldsOf(before), fieldsOf(resource))
	return change
}

// Write writes one line for each change and each changed field.
func Write(out io.Writer, changes []Change) {
	for _, change := range changes {
		note := ""
		switch {
		case change.Action != Changed:
		case change.Kind == model.KindSecret:
			note = " (value not shown)"
		case change.Kind == model.KindTenant:
			note = " (keys not shown)"
		}
		_, _ = fmt.Fprintf(out, "%s %s/%s%s\n", change.Action.mark(), change.Kind, change.Name, note)
		for _, field := range change.Fields {
			_, _ = fmt.Fprintf(out, "    %s: %s -> %s\n", field.Field, shown(field.From), shown(field.To))
		}
	}
}

func shown(text string) string {
	if text == "" {
		return "(not set)"
	}
	return text
}

// Summary counts the changes for a message.
func Summary(changes []Change) string {
	counts := map[Action]int{}
	for _, change := range changes {
		counts[change.Action]++
	}
	return fmt.Sprintf("%d added, %d changed, %d removed", counts[Added], counts[Changed], counts[Removed])
}
