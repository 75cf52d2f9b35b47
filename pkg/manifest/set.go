package manifest

import (
	"strings"

	"github.com/levertide/levertide/pkg/model"
)

// Document is one resource and the position where it is declared.
type Document struct {
	Resource model.Resource
	File     string
	// Line is the line on which the document's content starts, counted from one.
	Line int

	// positions holds the position of each field by its path.
	positions map[string]position
}

// position is a line and column in a file.
type position struct{ line, column int }

// FileSet holds all documents that a set of paths declares.
type FileSet struct {
	documents []*Document
	byKey     map[model.Key]*Document
	complete  bool
}

func newFileSet() *FileSet {
	return &FileSet{byKey: map[model.Key]*Document{}, complete: true}
}

// Documents returns the documents without faults, in the order of files and lines.
func (s *FileSet) Documents() []Document {
	var documents []Document
	for _, document := range s.documents {
		if document.readable() {
			documents = append(documents, *document)
		}
	}
	return documents
}

// Resources returns the resources of all documents without faults.
func (s *FileSet) Resources() []model.Resource {
	var resources []model.Resource
	for _, document := range s.documents {
		if document.readable() {
			resources = append(resources, document.Resource)
		}
	}
	return resources
}

// readable reports whether the spec could be read, not only kind and name.
func (d *Document) readable() bool { return d.Resource.CheckShape() == nil }

// UnreadKeys returns the keys of the documents whose spec has faults.
func (s *FileSet) UnreadKeys() []model.Key {
	var keys []model.Key
	for _, document := range s.documents {
		if !document.readable() {
			keys = append(keys, document.Resource.Key)
		}
	}
	return keys
}

// Complete reports whether the key of every document could be read. When it is
// false, a resource that seems to be missing may be in an unreadable document.
func (s *FileSet) Complete() bool { return s.complete }

// Position returns the position of a field of a resource. For a field that is
// not written in the file it is the position of the nearest enclosing field that is.
func (s *FileSet) Position(key model.Key, field string) (file string, line, column int) {
	document, found := s.byKey[key]
	if !found {
		return "", 0, 0
	}
	for {
		if at, found := document.positions[field]; found {
			return document.File, at.line, at.column
		}
		if field == "" {
			return document.File, document.Line, 1
		}
		field = enclosingField(field)
	}
}

// enclosingField removes the last element, ".name" or "[index]", of a field path.
func enclosingField(field string) string {
	return field[:max(strings.LastIndexAny(field, ".["), 0)]
}

// add adds a document, or returns a fault if its key is declared already.
func (s *FileSet) add(document *Document) []Fault {
	key := document.Resource.Key
	if first, found := s.byKey[key]; found {
		at := document.positions["name"]
		_, line, column := s.Position(key, "name")
		return []Fault{{
			File:    document.File,
			Line:    at.line,
			Column:  at.column,
			Field:   "name",
			Message: key.String() + " is declared already at " + location(first.File, line, column),
			Hint:    "rename one of them or remove it",
		}}
	}
	s.byKey[key] = document
	s.documents = append(s.documents, document)
	return nil
}
