package manifest

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/goccy/go-yaml/ast"
)

// presence says whether a field may be left out.
type presence bool

const (
	required presence = true
	optional presence = false
)

// objectReader reads the fields of one mapping and records which were requested,
// so that all others can be reported as unknown.
type objectReader struct {
	document  *documentReader
	path      string
	position  position
	fields    []objectField
	requested []string
}

type objectField struct {
	name     string
	position position
	value    ast.Node
}

// object returns a reader for a mapping node.
func (r *documentReader) object(node ast.Node, path string) (*objectReader, bool) {
	mapping, isMapping := node.(*ast.MappingNode)
	if !isMapping {
		r.reportType(node, path, "a mapping of fields")
		return nil, false
	}
	object := &objectReader{document: r, path: path, position: r.positionOf(node)}
	for _, item := range mapping.Values {
		object.addField(item)
	}
	return object, true
}

func (o *objectReader) addField(item *ast.MappingValueNode) {
	key, isText := item.Key.(*ast.StringNode)
	if !isText {
		o.document.reportAt(o.document.positionOf(item.Key), o.path, "a field name must be plain text", "")
		return
	}
	field := objectField{name: key.Value, position: o.document.positionOf(key), value: item.Value}
	path := o.fieldPath(field.name)
	if first, found := o.find(field.name); found {
		message := fmt.Sprintf("the field is given twice, first at line %d", first.position.line)
		o.document.reportAt(field.position, path, message, "")
		return
	}
	o.document.positions[path] = o.valuePosition(field)
	o.fields = append(o.fields, field)
}

// valuePosition returns the position of a field's value if it is on the same line
// as the field name, otherwise that of the name.
func (o *objectReader) valuePosition(field objectField) position {
	at := o.document.positionOf(field.value)
	if at.line != field.position.line {
		return field.position
	}
	return at
}

func (o *objectReader) fieldPath(name string) string {
	if o.path == "" {
		return name
	}
	return o.path + "." + name
}

func (o *objectReader) find(name string) (objectField, bool) {
	index := slices.IndexFunc(o.fields, func(field objectField) bool { return field.name == name })
	if index < 0 {
		return objectField{}, false
	}
	return o.fields[index], true
}

// get returns the value of a field, and reports a required one that is missing.
func (o *objectReader) get(name string, need presence) (ast.Node, bool) {
	o.requested = append(o.requested, name)
	field, found := o.find(name)
	if !found {
		if need == required {
			o.document.reportAt(o.position, o.fieldPath(name), "the field is missing", "")
		}
		return nil, false
	}
	if _, isNull := field.value.(*ast.NullNode); isNull {
		o.reportField(name, "the field has no value", "give it one or remove the field")
		return nil, false
	}
	return field.value, true
}

// reportField reports a fault at the position of a field's value.
func (o *objectReader) reportField(name, message, hint string) {
	path := o.fieldPath(name)
	at, found := o.document.positions[path]
	if !found {
		at = o.position
	}
	o.document.reportAt(at, path, message, hint)
}

// reportUnknown reports all fields that were not requested.
func (o *objectReader) reportUnknown() {
	for _, field := range o.fields {
		if !slices.Contains(o.requested, field.name) {
			message := fmt.Sprintf("the field %s is not known here", strconv.Quote(field.name))
			o.document.reportAt(field.position, o.fieldPath(field.name), message, suggest(o.requested, field.name))
		}
	}
}

// object returns a reader for a field that is a mapping. The caller must call
// reportUnknown on it after requesting all fields.
func (o *objectReader) object(name string, need presence) (*objectReader, bool) {
	node, found := o.get(name, need)
	if !found {
		return nil, false
	}
	return o.document.object(node, o.fieldPath(name))
}
