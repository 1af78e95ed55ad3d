package document

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/goccy/go-yaml/ast"
)

// decoder collects the problems found while the syntax tree of a document is decoded.
type decoder struct {
	problems []Problem
}

// addProblem records a problem at the position of node; a nil node means the document as a whole.
func (d *decoder) addProblem(node ast.Node, field, message, allowed string) {
	p := Problem{Field: field, Message: message, Allowed: allowed}
	if token := firstToken(node); token != nil {
		p.Line, p.Column = token.Position.Line, token.Position.Column
	}
	d.problems = append(d.problems, p)
}

// err returns an *InvalidError with the first maxProblems problems in the order of their positions, or nil without any.
func (d *decoder) err() error {
	if len(d.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(d.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	listed := d.problems[:min(len(d.problems), maxProblems)]
	return &InvalidError{Problems: listed, Omitted: len(d.problems) - len(listed)}
}

// checkSupported reports a node of a YAML feature that no field accepts. It returns false for such a node.
func (d *decoder) checkSupported(path string, node ast.Node) bool {
	switch node.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode, *ast.MergeKeyNode, *ast.MappingKeyNode, *ast.DirectiveNode:
		d.addProblem(node, path, "uses an anchor, an alias, a tag or a complex key", "plain values")
		return false
	default:
		return true
	}
}

// scalarText returns the text of a scalar whose node type is one of types. Otherwise it reports a problem and returns false.
func (d *decoder) scalarText(path string, node ast.Node, types []ast.NodeType, allowed string) (string, bool) {
	if isEmpty(node) {
		d.addProblem(node, path, "is empty", allowed)
		return "", false
	}
	if !d.checkSupported(path, node) {
		return "", false
	}
	if !slices.Contains(types, node.Type()) {
		d.addProblem(node, path, "is "+describeNode(node), allowed)
		return "", false
	}
	if s, ok := node.(*ast.StringNode); ok {
		return s.Value, true
	}
	return node.GetToken().Value, true
}

// mappingEntries returns the entries of a mapping. For another node it reports a problem and returns false. A
// MappingValueNode is a mapping with one entry.
func (d *decoder) mappingEntries(path string, node ast.Node, allowed string) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	d.reportMismatch(path, node, allowed)
	return nil, false
}

// sequenceItems returns the items of a sequence that has minItems to maxItems items. Otherwise it reports a problem and
// returns false.
func (d *decoder) sequenceItems(path string, node ast.Node, minItems, maxItems int, allowed string) ([]ast.Node, bool) {
	n, ok := node.(*ast.SequenceNode)
	if !ok {
		d.reportMismatch(path, node, allowed)
		return nil, false
	}
	if len(n.Values) < minItems || len(n.Values) > maxItems {
		d.addProblem(node, path, fmt.Sprintf("has %d items", len(n.Values)), allowed)
		return nil, false
	}
	return n.Values, true
}

// reportMismatch reports a value of the wrong type.
func (d *decoder) reportMismatch(path string, node ast.Node, allowed string) {
	switch {
	case isEmpty(node):
		d.addProblem(node, path, "is empty", allowed)
	case d.checkSupported(path, node):
		d.addProblem(node, path, "is "+describeNode(node), allowed)
	}
}

// fieldName returns the key of a mapping entry. It reports a key that is not a plain string and returns false.
func (d *decoder) fieldName(path string, entry *ast.MappingValueNode, allowed string) (string, bool) {
	if !d.checkSupported(path, entry.Key) {
		return "", false
	}
	key, ok := entry.Key.(*ast.StringNode)
	if !ok {
		d.addProblem(entry.Key, path, "has a field name that is "+describeNode(entry.Key), allowed)
		return "", false
	}
	return key.Value, true
}

// isEmpty reports whether a field has no value or null.
func isEmpty(node ast.Node) bool { return node == nil || node.Type() == ast.NullType }

// describeNode describes a value of the wrong type for the message of a problem.
func describeNode(node ast.Node) string {
	switch node.Type() {
	case ast.IntegerType, ast.FloatType, ast.InfinityType, ast.NanType:
		return "the number " + quoteTruncated(node.GetToken().Value)
	case ast.BoolType:
		return "the switch " + node.GetToken().Value
	case ast.StringType:
		return "the text " + quoteTruncated(node.GetToken().Value)
	case ast.LiteralType:
		return "a block of text"
	case ast.MappingType, ast.MappingValueType:
		return "a mapping"
	case ast.SequenceType:
		return "a list"
	default:
		return "a value of type " + node.Type().String()
	}
}
