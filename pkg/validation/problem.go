package validation

import (
	"strings"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/model"
)

// Problem is one violation of a rule by a set. It never contains the value of a
// secret.
type Problem struct {
	// Key is the resource at fault; the zero key stands for the set as a whole.
	Key model.Key
	// Field is the path of the field within the document, such as "spec.match.path".
	Field string
	// Message says what is wrong.
	Message string
	// Other is a second resource that conflicts with Key, or the zero key.
	Other model.Key
	// OtherField is the field of Other that conflicts.
	OtherField string
	// Hint says how to solve the problem; it may be empty.
	Hint string
}

// String returns the problem as "Kind/name: field: message, other".
func (p Problem) String() string {
	var parts []string
	if p.Key != (model.Key{}) {
		parts = append(parts, p.Key.String())
	}
	if p.Field != "" {
		parts = append(parts, p.Field)
	}
	message := p.Message
	if p.Other != (model.Key{}) {
		message += " " + p.Other.String()
	}
	return strings.Join(append(parts, message), ": ")
}

var errorNamespace = errorx.NewNamespace("levertide.validation")

// ErrInvalid reports that a set breaks rules; its text states the first few problems.
var ErrInvalid = errorNamespace.NewType("invalid")

// maximumNamedProblems is how many problems the text of an error states at most.
const maximumNamedProblems = 3

// AsError returns nil if there are no problems, and otherwise ErrInvalid, whose text
// states the first few.
func AsError(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	var texts []string
	for _, problem := range problems[:min(len(problems), maximumNamedProblems)] {
		texts = append(texts, problem.String())
	}
	return ErrInvalid.New("%d problems: %s", len(problems), strings.Join(texts, "; "))
}
