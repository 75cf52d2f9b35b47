package manifest

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"unicode/utf8"
)

// Bounds on what Load reads.
const (
	// MaxFileBytes bounds one file.
	MaxFileBytes = 1 << 20
	// MaxDocumentBytes bounds one document.
	MaxDocumentBytes = 64 << 10
	// MaxSetBytes bounds all files of a set together.
	MaxSetBytes = 32 << 20
)

// Load reads the files at the paths, and all *.yaml and *.yml files below those
// that are directories, except hidden ones. It returns every fault it finds,
// ordered by position; the set holds the documents that could still be read.
func Load(paths ...string) (*FileSet, []Fault) {
	loader := &loader{set: newFileSet()}
	if len(paths) == 0 {
		loader.report(Fault{Message: "no path is given", Hint: "name a directory or a file"})
	}
	for _, path := range loader.findFiles(paths) {
		loader.loadFile(path)
	}
	SortFaults(loader.faults)
	return loader.set, loader.faults
}

// Parse reads the content of one file from memory; faults refer to it by name.
func Parse(name string, content []byte) (*FileSet, []Fault) {
	loader := &loader{set: newFileSet()}
	loader.loadContent(name, content)
	SortFaults(loader.faults)
	return loader.set, loader.faults
}

// loader collects documents and faults.
type loader struct {
	set        *FileSet
	faults     []Fault
	totalBytes int
}

func (l *loader) report(faults ...Fault) { l.faults = append(l.faults, faults...) }

// reportUnreadable reports a fault because of which at least one document cannot
// be read, so that the set is incomplete.
func (l *loader) reportUnreadable(fault Fault) {
	l.set.complete = false
	l.report(fault)
}

// findFiles returns each file once, sorted by path.
func (l *loader) findFiles(paths []string) []string {
	var files []string
	for _, path := range paths {
		info, err := os.Stat(path)
		switch {
		case err != nil:
			l.reportUnreadable(Fault{File: path, Message: reason(err)})
		case info.IsDir():
			files = append(files, l.walk(path)...)
		default:
			files = append(files, filepath.Clean(path))
		}
	}
	slices.Sort(files)
	return slices.Compact(files)
}

func (l *loader) walk(directory string) []string {
	var files []string
	_ = filepath.WalkDir(directory, func(path string, item fs.DirEntry, err error) error {
		switch {
		case err != nil:
			l.reportUnreadable(Fault{File: path, Message: reason(err)})
		case path != directory && strings.HasPrefix(item.Name(), "."):
			if item.IsDir() {
				return fs.SkipDir
			}
		case !item.IsDir() && isManifestName(item.Name()):
			files = append(files, path)
		}
		return nil
	})
	return files
}

func isManifestName(name string) bool {
	extension := filepath.Ext(name)
	return extension == ".yaml" || extension == ".yml"
}

func (l *loader) loadFile(path string) {
	content, err := readBounded(path)
	if err != nil {
		l.reportUnreadable(Fault{File: path, Message: reason(err)})
		return
	}
	l.totalBytes += len(content)
	if l.totalBytes > MaxSetBytes {
		l.reportUnreadable(Fault{File: path, Message: fmt.Sprintf("the set takes more than %d bytes", MaxSetBytes)})
		return
	}
	l.loadContent(path, content)
}

var errNotRegular = errors.New("not a regular file")

// readBounded reads at most one byte more than MaxFileBytes, so that loadContent
// can detect a file that is too large.
func readBounded(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, errNotRegular
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return io.ReadAll(io.LimitReader(file, MaxFileBytes+1))
}

// reason returns the message of err without the path, which the fault names already.
func reason(err error) string {
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		return pathError.Err.Error()
	}
	return err.Error()
}

func (l *loader) loadContent(file string, content []byte) {
	if len(content) > MaxFileBytes {
		l.reportUnreadable(Fault{File: file, Message: fmt.Sprintf("the file takes more than %d bytes", MaxFileBytes), Hint: "spread the documents over several files"})
		return
	}
	if line, valid := checkText(content); !valid {
		l.reportUnreadable(Fault{File: file, Line: line, Column: 1, Message: "the file is not UTF-8 text"})
		return
	}
	for _, part := range splitDocuments(content) {
		l.loadDocument(file, part)
	}
}

// checkText returns the number of the first line that is not UTF-8 text or
// contains a zero byte.
func checkText(content []byte) (line int, valid bool) {
	for index, text := range bytes.Split(content, []byte("\n")) {
		if !utf8.Valid(text) || bytes.IndexByte(text, 0) >= 0 {
			return index + 1, false
		}
	}
	return 0, true
}

func (l *loader) loadDocument(file string, part documentText) {
	document, faults := parseDocument(file, part)
	l.report(faults...)
	switch {
	case document != nil:
		l.report(l.set.add(document)...)
	case len(faults) > 0:
		l.set.complete = false
	}
}

func location(file string, line, column int) string {
	return fmt.Sprintf("%s:%d:%d", file, line, column)
}
