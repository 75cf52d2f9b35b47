package validation

import (
	"fmt"

	"github.com/levertide/levertide/pkg/manifest"
	"github.com/levertide/levertide/pkg/model"
)

// Validate returns a fault for every rule that a file set breaks, with its position
// in the files. Documents that Load could not read are left out, and references to
// them are not faults. If the key of any document could not be read, references are
// not checked at all.
func Validate(set *manifest.FileSet, limits Limits) []manifest.Fault {
	checker := newChecker(set.Resources(), limits)
	checker.checkReferences = set.Complete()
	checker.unread = unreadKeys(set)
	if set.Complete() {
		checker.checkEmpty()
	}
	checker.checkAll()
	faults := make([]manifest.Fault, 0, len(checker.problems))
	for _, problem := range checker.problems {
		faults = append(faults, faultOf(set, problem))
	}
	manifest.SortFaults(faults)
	return faults
}

func unreadKeys(set *manifest.FileSet) map[model.Key]struct{} {
	keys := map[model.Key]struct{}{}
	for _, key := range set.UnreadKeys() {
		keys[key] = struct{}{}
	}
	return keys
}

func faultOf(set *manifest.FileSet, problem Problem) manifest.Fault {
	fault := manifest.Fault{Field: problem.Field, Message: problem.Message, Hint: problem.Hint}
	fault.File, fault.Line, fault.Column = set.Position(problem.Key, problem.Field)
	if problem.Other != (model.Key{}) {
		file, line, column := set.Position(problem.Other, problem.OtherField)
		fault.Message += fmt.Sprintf(" %s at %s:%d:%d", problem.Other, file, line, column)
	}
	return fault
}
