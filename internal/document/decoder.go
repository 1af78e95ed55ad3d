package document

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/goccy/go-yaml/ast"
)

// decoder walks the syntax tree of a document and collects problems.
type decoder struct {
	problems []Problem
}

// report adds a problem at the position of node.
func (d *decoder) report(node ast.Node, field, message, allowed string) {
	p := Problem{Field: field, Message: message, Allowed: allowed}
	if token := firstToken(node); token != nil {
		p.Line, p.Column = token.Position.Line, token.Position.Column
	}
	d.problems = append(d.problems, p)
}

// err returns the problems as an error, or nil.
func (d *decoder) err() error {
	if len(d.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(d.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	listed := d.problems[:min(len(d.problems), maxProblems)]
	return &InvalidError{Problems: listed, More: len(d.problems) - len(listed)}
}

// supported reports nodes that the schema never accepts.
func (d *decoder) supported(path string, node ast.Node) bool {
	switch node.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode, *ast.MergeKeyNode, *ast.MappingKeyNode, *ast.DirectiveNode:
		d.report(node, path, "uses an anchor, an alias, a tag or a complex key", "plain values")
		return false
	default:
		return true
	}
}

// scalarText returns the text of a scalar of one of the types.
func (d *decoder) scalarText(path string, node ast.Node, types []ast.NodeType, allowed string) (string, bool) {
	if isEmpty(node) {
		d.report(node, path, "is empty", allowed)
		return "", false
	}
	if !d.supported(path, node) {
		return "", false
	}
	if !slices.Contains(types, node.Type()) {
		d.report(node, path, "is "+describeNode(node), allowed)
		return "", false
	}
	if s, ok := node.(*ast.StringNode); ok {
		return s.Value, true
	}
	return node.GetToken().Value, true
}

// mapping returns the entries of a mapping.
func (d *decoder) mapping(path string, node ast.Node, allowed string) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	d.mismatch(path, node, allowed)
	return nil, false
}

// sequence returns the items of a sequence with low to high items.
func (d *decoder) sequence(path string, node ast.Node, low, high int, allowed string) ([]ast.Node, bool) {
	n, ok := node.(*ast.SequenceNode)
	if !ok {
		d.mismatch(path, node, allowed)
		return nil, false
	}
	if len(n.Values) < low || len(n.Values) > high {
		d.report(node, path, fmt.Sprintf("has %d items", len(n.Values)), allowed)
		return nil, false
	}
	return n.Values, true
}

func (d *decoder) mismatch(path string, node ast.Node, allowed string) {
	switch {
	case isEmpty(node):
		d.report(node, path, "is empty", allowed)
	case d.supported(path, node):
		d.report(node, path, "is "+describeNode(node), allowed)
	}
}

// key returns the name of a field.
func (d *decoder) key(path string, entry *ast.MappingValueNode, allowed string) (string, bool) {
	if !d.supported(path, entry.Key) {
		return "", false
	}
	key, ok := entry.Key.(*ast.StringNode)
	if !ok {
		d.report(entry.Key, path, "has a field name that is "+describeNode(entry.Key), allowed)
		return "", false
	}
	return key.Value, true
}

func isEmpty(node ast.Node) bool { return node == nil || node.Type() == ast.NullType }

func describeNode(node ast.Node) string {
	switch node.Type() {
	case ast.IntegerType, ast.FloatType, ast.InfinityType, ast.NanType:
		return "the number " + shorten(node.GetToken().Value)
	case ast.BoolType:
		return "the switch " + node.GetToken().Value
	case ast.StringType:
		return "the text " + shorten(node.GetToken().Value)
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
