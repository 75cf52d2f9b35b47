package report

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/levertide/levertide/internal/lab/results"
)

// named is one result and the name, without extension, of the file that it was read from.
type named[T any] struct {
	Name   string
	Result T
}

// input is everything that a report shows.
type input struct {
	experiments []named[results.Experiment]
	loads       []named[results.Load]
}

// empty reports whether there is nothing to show.
func (i input) empty() bool {
	return len(i.experiments)+len(i.loads) == 0
}

// kindFields are the fields that distinguish the kinds of result.
type kindFields struct {
	Experiment *json.RawMessage `json:"experiment"`
	Added      *json.RawMessage `json:"added_ms"`
}

// readInput reads every JSON file of a directory and skips those that are no results of a known kind.
func readInput(directory string) (input, error) {
	paths, err := filepath.Glob(filepath.Join(directory, "*.json"))
	if err != nil {
		return input{}, ErrInput.Wrap(err, "list %s", directory)
	}
	var read input
	for _, path := range paths {
		content, err := os.ReadFile(path)
		if err != nil {
			return input{}, ErrInput.Wrap(err, "read %s", path)
		}
		if err := read.add(strings.TrimSuffix(filepath.Base(path), ".json"), content); err != nil {
			return input{}, ErrInput.Wrap(err, "parse %s", path)
		}
	}
	if read.empty() {
		return input{}, ErrInput.New("%s holds no results of experiments", directory)
	}
	return read, nil
}

// add parses one file by its kind.
func (i *input) add(name string, content []byte) error {
	var kind kindFields
	if err := json.Unmarshal(content, &kind); err != nil {
		return err
	}
	switch {
	case kind.Experiment != nil:
		return parseInto(&i.experiments, name, content)
	case kind.Added != nil:
		return parseInto(&i.loads, name, content)
	default:
		return nil
	}
}

// parseInto appends one parsed result.
func parseInto[T any](list *[]named[T], name string, content []byte) error {
	var result T
	if err := json.Unmarshal(content, &result); err != nil {
		return err
	}
	*list = append(*list, named[T]{Name: name, Result: result})
	return nil
}
