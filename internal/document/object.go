package document

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// objectValue describes a field whose value is a mapping. It is decoded into a U, which set assigns to the T.
type objectValue[T, U any] struct {
	fields []field[U]
	set    func(target *T, v U)
}

func (o objectValue[T, U]) allowedText() string { return "mapping with " + joinFieldNames(o.fields) }

func (o objectValue[T, U]) subfields(path string) []Field { return describeFields(o.fields, path) }

func (o objectValue[T, U]) setDefault(_ string, target *T) { o.set(target, defaultsOf(o.fields)) }

func joinFieldNames[T any](fields []field[T]) string { return strings.Join(fieldNames(fields), ", ") }

func fieldNames[T any](fields []field[T]) []string {
	list := make([]string, 0, len(fields))
	for _, f := range fields {
		list = append(list, f.name)
	}
	return list
}

func (o objectValue[T, U]) decode(d *decoder, path string, node ast.Node, target *T) {
	if v, ok := decodeObject(d, path, node, o.fields); ok {
		o.set(target, v)
	}
}

// object describes a mapping whose target keeps its zero value when it is missing.
func object[T, U any](fields []field[U], access func(*T) *U) value[T] {
	return objectValue[T, U]{fields, func(target *T, v U) { *access(target) = v }}
}

// optionalObject describes a mapping that turns a feature on. The target stays nil, which means off, when it is missing.
func optionalObject[T, U any](fields []field[U], access func(*T) **U) value[T] {
	return objectValue[T, U]{fields, func(target *T, v U) { *access(target) = &v }}
}

// decodeObject decodes a mapping and reports unknown, repeated and missing fields as problems. It returns false if node is
// not a mapping.
func decodeObject[T any](d *decoder, path string, node ast.Node, fields []field[T]) (T, bool) {
	t := defaultsOf(fields)
	entries, ok := d.mappingEntries(path, node, "mapping with "+joinFieldNames(fields))
	if !ok {
		return t, false
	}
	seen := map[string]bool{}
	for _, entry := range entries {
		name, ok := d.fieldName(path, entry, joinFieldNames(fields))
		if !ok {
			continue
		}
		if seen[name] {
			d.addProblem(entry.Key, joinPath(path, name), "is repeated", "each field once")
			continue
		}
		seen[name] = true
		decodeField(d, path, name, entry, fields, &t)
	}
	for _, f := range fields {
		if f.required && !seen[f.name] {
			d.addProblem(node, joinPath(path, f.name), "is missing", f.value.allowedText())
		}
	}
	return t, true
}

// decodeField decodes the value of one field into t, or reports that no field has this name.
func decodeField[T any](d *decoder, path, name string, entry *ast.MappingValueNode, fields []field[T], t *T) {
	for _, f := range fields {
		if f.name == name {
			f.value.decode(d, joinPath(path, name), entry.Value, t)
			return
		}
	}
	d.addProblem(entry.Key, joinPath(path, truncateName(name)), "is not a known field", joinFieldNames(fields))
}

// truncateName limits an unknown field name in the path of a problem to maxQuotedBytes.
func truncateName(name string) string { return name[:min(len(name), maxQuotedBytes)] }

// listValue describes a field whose value is a sequence of mappings.
type listValue[T, U any] struct {
	fields             []field[U]
	minItems, maxItems int
	access             func(*T) *[]U
}

func objectList[T, U any](fields []field[U], minItems, maxItems int, access func(*T) *[]U) value[T] {
	return listValue[T, U]{fields, minItems, maxItems, access}
}

func (l listValue[T, U]) allowedText() string {
	return fmt.Sprintf("list of %d to %d mappings with %s", l.minItems, l.maxItems, joinFieldNames(l.fields))
}

func (l listValue[T, U]) subfields(path string) []Field { return describeFields(l.fields, path+"[]") }
func (l listValue[T, U]) setDefault(string, *T)         { panic("a list has no default") }

func (l listValue[T, U]) decode(d *decoder, path string, node ast.Node, target *T) {
	items, ok := d.sequenceItems(path, node, l.minItems, l.maxItems, l.allowedText())
	if !ok {
		return
	}
	for i, item := range items {
		v, _ := decodeObject(d, fmt.Sprintf("%s[%d]", path, i), item, l.fields)
		*l.access(target) = append(*l.access(target), v)
	}
}

// textListValue describes a field whose value is a sequence of distinct texts.
type textListValue[T any] struct {
	rule     textRule
	maxItems int
	access   func(*T) *[]string
}

func textList[T any](r textRule, maxItems int, access func(*T) *[]string) value[T] {
	return textListValue[T]{r, maxItems, access}
}

func (v textListValue[T]) allowedText() string {
	return fmt.Sprintf("list of up to %d different texts: %s", v.maxItems, v.rule.allowed)
}
func (v textListValue[T]) subfields(string) []Field { return nil }
func (v textListValue[T]) setDefault(string, *T)    { panic("a list has no default") }

func (v textListValue[T]) decode(d *decoder, path string, node ast.Node, target *T) {
	items, ok := d.sequenceItems(path, node, 0, v.maxItems, v.allowedText())
	if !ok {
		return
	}
	seen := map[string]bool{}
	for i, item := range items {
		itemPath := fmt.Sprintf("%s[%d]", path, i)
		s, ok := d.scalarText(itemPath, item, []ast.NodeType{ast.StringType}, v.rule.allowed)
		switch {
		case !ok:
		case !v.rule.pattern.MatchString(s):
			d.addProblem(item, itemPath, quoteTruncated(s)+" is not allowed", v.rule.allowed)
		case seen[s]:
			d.addProblem(item, itemPath, quoteTruncated(s)+" is repeated", "each text once")
		default:
			seen[s] = true
			*v.access(target) = append(*v.access(target), s)
		}
	}
}
