package settings

import (
	"fmt"
	"strings"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("settings")

// ErrInvalid is the type of the error that Load returns when settings cannot
// be used; Problems returns its details.
var ErrInvalid = namespace.NewType("invalid")

var problemsProperty = errorx.RegisterProperty("problems")

// Problem is one setting that cannot be used.
type Problem struct {
	// Key is the name of the setting.
	Key string
	// Value is the value that was given.
	Value string
	// Source says where the value came from.
	Source string
	// Message says what is wrong with the value.
	Message string
	// Allowed says which values are accepted.
	Allowed string
}

// String returns the problem as one line for operators.
func (p Problem) String() string {
	line := fmt.Sprintf("%s=%q (from %s): %s", p.Key, p.Value, p.Source, p.Message)
	if p.Allowed != "" {
		line += "; allowed: " + p.Allowed
	}
	return line
}

// Problems returns the details of an ErrInvalid error, or nil.
func Problems(err error) []Problem {
	value, found := errorx.ExtractProperty(err, problemsProperty)
	if !found {
		return nil
	}
	problems, _ := value.([]Problem)
	return problems
}

func newInvalidError(problems ...Problem) error {
	lines := make([]string, 0, len(problems))
	for _, problem := range problems {
		lines = append(lines, problem.String())
	}
	return ErrInvalid.New("%s", strings.Join(lines, "\n")).WithProperty(problemsProperty, problems)
}
