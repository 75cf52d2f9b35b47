package manifest

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one error in a file set. It implements error.
type Fault struct {
	// File is the path as given or found; empty when the fault concerns the set as a whole.
	File string `json:"file,omitempty"`
	// Line and Column count from one; zero means that the position is unknown.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Field is the path of the field within its document, such as "spec.match.path".
	Field string `json:"field,omitempty"`
	// Message says what is wrong.
	Message string `json:"message"`
	// Hint says what to do about it; it may be empty.
	Hint string `json:"hint,omitempty"`
}

// Error returns the fault as "file:line:column: field: message (hint)".
func (f Fault) Error() string {
	var text strings.Builder
	if f.File != "" {
		text.WriteString(f.File)
		if f.Line > 0 {
			fmt.Fprintf(&text, ":%d:%d", f.Line, f.Column)
		}
		text.WriteString(": ")
	}
	if f.Field != "" {
		text.WriteString(f.Field + ": ")
	}
	text.WriteString(f.Message)
	if f.Hint != "" {
		text.WriteString(" (" + f.Hint + ")")
	}
	return text.String()
}

// SortFaults orders faults by file, line, column and field.
func SortFaults(faults []Fault) {
	slices.SortStableFunc(faults, func(a, b Fault) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Column, b.Column),
			cmp.Compare(a.Field, b.Field),
		)
	})
}
