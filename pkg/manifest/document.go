package manifest

import (
	"errors"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/levertide/levertide/pkg/model"
)

// parseDocument reads one document. It returns nil when the document is empty or
// when its kind or name cannot be read. For a document whose spec has faults,
// only the key of the resource is set.
func parseDocument(file string, part documentText) (*Document, []Fault) {
	reader := &documentReader{file: file, firstLine: part.line, positions: map[string]position{}}
	if len(part.text) > MaxDocumentBytes {
		reader.reportAt(position{part.line, 1}, "", fmt.Sprintf("the document takes more than %d bytes", MaxDocumentBytes), "")
		return nil, reader.faults
	}
	body := reader.parse(part.text)
	if body == nil {
		return nil, reader.faults
	}
	return reader.readDocument(body), reader.faults
}

// documentReader reads the fields of one document and collects its faults.
type documentReader struct {
	file      string
	firstLine int
	positions map[string]position
	faults    []Fault
}

func (r *documentReader) reportAt(at position, field, message, hint string) {
	r.faults = append(r.faults, Fault{File: r.file, Line: at.line, Column: at.column, Field: field, Message: message, Hint: hint})
}

// parse returns the root of the document, or nil after a fault or when the
// document is empty.
func (r *documentReader) parse(text []byte) (root ast.Node) {
	defer func() {
		if recover() != nil { // the YAML library panics on some malformed input
			root = nil
			r.reportAt(position{r.firstLine, 1}, "", "the document is not YAML", "")
		}
	}()
	parsed, err := parser.ParseBytes(text, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		r.reportSyntax(err)
		return nil
	}
	for _, document := range parsed.Docs {
		switch {
		case document.Body == nil:
		case root != nil:
			r.reportAt(r.positionOf(document.Body), "", "a second document follows without a \"---\" line", "")
			return nil
		default:
			root = document.Body
		}
	}
	if _, isComment := root.(*ast.CommentGroupNode); isComment {
		return nil
	}
	return root
}

// reportSyntax reports the message of the YAML library without its excerpt of the
// source text, which may contain a secret.
func (r *documentReader) reportSyntax(err error) {
	at, message := position{r.firstLine, 1}, "the document cannot be parsed"
	var described yaml.Error
	if errors.As(err, &described) {
		message = described.GetMessage()
		if token := described.GetToken(); token != nil && token.Position != nil {
			at = position{r.firstLine + token.Position.Line - 1, token.Position.Column}
		}
	}
	hint := ""
	if strings.Contains(message, "\t") {
		message, hint = "a tab cannot start a value", "indent with spaces"
	}
	r.reportAt(at, "", "not YAML: "+message, hint)
}

// positionOf returns where a node starts in the file.
func (r *documentReader) positionOf(node ast.Node) position {
	if mapping, isMapping := node.(*ast.MappingNode); isMapping && !mapping.IsFlowStyle && len(mapping.Values) > 0 {
		node = mapping.Values[0].Key
	}
	token := node.GetToken()
	if token == nil || token.Position == nil {
		return position{r.firstLine, 1}
	}
	return position{r.firstLine + token.Position.Line - 1, max(token.Position.Column, 1)}
}

// readDocument reads kind, name and spec.
func (r *documentReader) readDocument(body ast.Node) *Document {
	root, isObject := r.object(body, "")
	if !isObject {
		return nil
	}
	kind := model.Kind(root.text("kind", required))
	name := root.text("name", required)
	document := &Document{File: r.file, Line: r.positionOf(body).line, positions: r.positions}
	document.Resource.Key = model.Key{Kind: kind, Name: name}
	readSpec, known := specReaders[kind]
	if !known && kind != "" {
		root.reportField("kind", fmt.Sprintf("%q is not a kind of resource", kind), suggest(kindNames, string(kind)))
	}
	spec, hasSpec := root.object("spec", required)
	root.reportUnknown()
	if !known || name == "" {
		return nil
	}
	if hasSpec {
		readSpec(spec, &document.Resource)
		spec.reportUnknown()
	}
	if len(r.faults) > 0 {
		document.Resource = model.Resource{Key: document.Resource.Key}
	}
	return document
}
