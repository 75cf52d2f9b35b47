package experiment

import (
	"bytes"
	"os"
	"path/filepath"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
)

// LoadFile reads and validates an experiment file. It fails with ErrInvalid, whose
// message lists every mistake found.
func LoadFile(path string) (*File, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrInvalid.Wrap(err, "cannot read the experiment file")
	}
	file, err := parse(content)
	if err != nil {
		return nil, ErrInvalid.Wrap(err, "%s", path)
	}
	file.directory = filepath.Dir(path)
	return file, nil
}

// Paths resolves directories of a file set relative to the experiment file's directory.
func (f *File) Paths(directories []string) []string {
	resolved := make([]string, len(directories))
	for i, directory := range directories {
		resolved[i] = filepath.Join(f.directory, directory)
	}
	return resolved
}

// parse reads the content of an experiment file.
func parse(content []byte) (*File, error) {
	decoder := yaml.NewDecoder(
		bytes.NewReader(content),
		yaml.Strict(),
		yaml.Validator(validator.New(validator.WithRequiredStructEnabled())),
	)
	var file File
	if err := decoder.Decode(&file); err != nil {
		return nil, err
	}
	if problems := file.check(); len(problems) > 0 {
		return nil, ErrInvalid.New("%s", problems.String())
	}
	return &file, nil
}
