package validation

import (
	"strings"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/model"
)

// Problem is one rule that a set breaks. It never holds the value of a secret.
type Problem struct {
	// Key is the resource at fault; the zero key stands for the set as a whole.
	Key model.Key
	// Field is the path of the field within the document, such as "spec.match.path".
	Field string
	// Message says what is wrong.
	Message string
	// Other is a second resource that takes part, or the zero key.
	Other model.Key
	// OtherField is the field of Other that matters.
	OtherField string
	// Hint says what to do about it; it may be empty.
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

// ErrInvalid tells that a set breaks rules; its text names the first of them.
var ErrInvalid = errorNamespace.NewType("invalid")

// maximumNamedProblems bounds the problems that an error names.
const maximumNamedProblems = 3

// AsError returns nil without problems, and otherwise ErrInvalid, which names
// the first few.
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
