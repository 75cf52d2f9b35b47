package manifest

import (
	"fmt"
	"math"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// text returns a field that is text, and an empty string after a fault.
func (o *objectReader) text(name string, need presence) string {
	node, found := o.get(name, need)
	if !found {
		return ""
	}
	value, isText := o.document.textOf(node, o.fieldPath(name))
	if isText && value == "" && need == required {
		o.reportField(name, "the field is empty", "")
	}
	return value
}

func (r *documentReader) textOf(node ast.Node, path string) (string, bool) {
	switch value := node.(type) {
	case *ast.StringNode:
		return value.Value, true
	case *ast.LiteralNode:
		return value.Value.Value, true
	default:
		r.reportType(node, path, "text")
		return "", false
	}
}

// choice returns a field that must be one of words, and fallback when it is
// absent or invalid.
func (o *objectReader) choice(name, fallback string, words []string) string {
	node, found := o.get(name, optional)
	if !found {
		return fallback
	}
	value, isText := o.document.textOf(node, o.fieldPath(name))
	if !isText {
		return fallback
	}
	for _, word := range words {
		if value == word {
			return value
		}
	}
	o.reportField(name, fmt.Sprintf("%q is not a value of this field", value), suggest(words, value))
	return fallback
}

// integer returns a field that is a non-negative integer.
func (o *objectReader) integer(name string, need presence) int {
	node, found := o.get(name, need)
	if !found {
		return 0
	}
	number, isInteger := node.(*ast.IntegerNode)
	if !isInteger {
		o.document.reportType(node, o.fieldPath(name), "a whole number")
		return 0
	}
	value, fits := number.Value.(uint64)
	if !fits || value > math.MaxInt32 {
		o.reportField(name, fmt.Sprintf("the number must be between 0 and %d", math.MaxInt32), "")
		return 0
	}
	return int(value)
}

// boolean returns a field that is true or false, and false when it is absent.
func (o *objectReader) boolean(name string) bool {
	node, found := o.get(name, optional)
	if !found {
		return false
	}
	value, isBoolean := node.(*ast.BoolNode)
	if !isBoolean {
		o.document.reportType(node, o.fieldPath(name), "true or false")
		return false
	}
	return value.Value
}

// duration returns a field that is a non-negative duration such as "30s", and
// zero when it is absent.
func (o *objectReader) duration(name string) time.Duration {
	const hint = `write a number and a unit, such as "30s" or "1m30s"`
	node, found := o.get(name, optional)
	if !found {
		return 0
	}
	if _, isNumber := node.(*ast.IntegerNode); isNumber {
		o.reportField(name, "the duration has no unit", hint)
		return 0
	}
	text, isText := o.document.textOf(node, o.fieldPath(name))
	if !isText {
		return 0
	}
	value, err := time.ParseDuration(text)
	if err != nil || value < 0 {
		o.reportField(name, fmt.Sprintf("%q is not a duration", text), hint)
		return 0
	}
	return value
}

// textList returns a field that is a list of text. An absent list is nil; an
// empty one is not.
func (o *objectReader) textList(name string) []string {
	node, found := o.get(name, optional)
	if !found {
		return nil
	}
	sequence, isSequence := node.(*ast.SequenceNode)
	if !isSequence {
		o.document.reportType(node, o.fieldPath(name), "a list of text")
		return nil
	}
	list := make([]string, 0, len(sequence.Values))
	for index, item := range sequence.Values {
		path := fmt.Sprintf("%s[%d]", o.fieldPath(name), index)
		o.document.positions[path] = o.document.positionOf(item)
		if value, isText := o.document.textOf(item, path); isText {
			list = append(list, value)
		}
	}
	return list
}

// reportType reports a node that is not of the required type. The fault does not
// contain the node's value, which may be a secret.
func (r *documentReader) reportType(node ast.Node, path, want string) {
	got, hint := describeNode(node)
	if want == "text" && hint == "" {
		hint = "put the value in quotes"
	}
	r.reportAt(r.positionOf(node), path, fmt.Sprintf("must be %s, not %s", want, got), hint)
}

// describeNode returns a name for the type of a node, and a hint for types that
// manifests do not allow or that are often a mistake.
func describeNode(node ast.Node) (name, hint string) {
	switch node.(type) {
	case *ast.StringNode, *ast.LiteralNode:
		return "text", ""
	case *ast.IntegerNode, *ast.FloatNode, *ast.InfinityNode, *ast.NanNode:
		return "a number", ""
	case *ast.BoolNode:
		return "true or false", ""
	case *ast.NullNode:
		return "nothing", "give it a value or remove it"
	case *ast.MappingNode:
		return "a mapping", "check the indentation"
	case *ast.SequenceNode:
		return "a list", "check the indentation"
	case *ast.AnchorNode, *ast.AliasNode:
		return "an anchor or alias", "write the value out"
	case *ast.TagNode:
		return "a tagged value", "leave the tag out"
	default:
		return "this", "see the reference of the file format"
	}
}
