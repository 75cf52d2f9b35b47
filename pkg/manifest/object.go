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

// objectReader reads the fields of one mapping and remembers which were asked
// for, so that all others can be refused as unknown.
type objectReader struct {
	document *documentReader
	path     string
	place    position
	fields   []objectField
	asked    []string
}

type objectField struct {
	name  string
	place position
	value ast.Node
}

// object makes a reader of a mapping node.
func (r *documentReader) object(node ast.Node, path string) (*objectReader, bool) {
	mapping, isMapping := node.(*ast.MappingNode)
	if !isMapping {
		r.reportType(node, path, "a mapping of fields")
		return nil, false
	}
	object := &objectReader{document: r, path: path, place: r.place(node)}
	for _, item := range mapping.Values {
		object.addField(item)
	}
	return object, true
}

func (o *objectReader) addField(item *ast.MappingValueNode) {
	key, isText := item.Key.(*ast.StringNode)
	if !isText {
		o.document.reportAt(o.document.place(item.Key), o.path, "a field name must be plain text", "")
		return
	}
	field := objectField{name: key.Value, place: o.document.place(key), value: item.Value}
	path := o.fieldPath(field.name)
	if first, found := o.find(field.name); found {
		message := fmt.Sprintf("the field is given twice, first at line %d", first.place.line)
		o.document.reportAt(field.place, path, message, "")
		return
	}
	o.document.positions[path] = o.valuePlace(field)
	o.fields = append(o.fields, field)
}

// valuePlace is the place of the value if it is written beside its name.
func (o *objectReader) valuePlace(field objectField) position {
	place := o.document.place(field.value)
	if place.line != field.place.line {
		return field.place
	}
	return place
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
	o.asked = append(o.asked, name)
	field, found := o.find(name)
	if !found {
		if need == required {
			o.document.reportAt(o.place, o.fieldPath(name), "the field is missing", "")
		}
		return nil, false
	}
	if _, isNull := field.value.(*ast.NullNode); isNull {
		o.reportField(name, "the field has no value", "give it one or remove the field")
		return nil, false
	}
	return field.value, true
}

// reportField reports a fault at the place of a field's value.
func (o *objectReader) reportField(name, message, hint string) {
	path := o.fieldPath(name)
	place, found := o.document.positions[path]
	if !found {
		place = o.place
	}
	o.document.reportAt(place, path, message, hint)
}

// refuseUnknown reports all fields that nobody asked for.
func (o *objectReader) refuseUnknown() {
	for _, field := range o.fields {
		if !slices.Contains(o.asked, field.name) {
			message := fmt.Sprintf("the field %s is not known here", strconv.Quote(field.name))
			o.document.reportAt(field.place, o.fieldPath(field.name), message, oneOf(o.asked, field.name))
		}
	}
}

// object returns a reader of a field that is a mapping. Whoever asks for it
// calls refuseUnknown when done.
func (o *objectReader) object(name string, need presence) (*objectReader, bool) {
	node, found := o.get(name, need)
	if !found {
		return nil, false
	}
	return o.document.object(node, o.fieldPath(name))
}
