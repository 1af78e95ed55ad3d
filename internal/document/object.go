package document

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// objectValue is a mapping that is decoded into U and then stored in T.
type objectValue[T, U any] struct {
	fields []field[U]
	store  func(target *T, v U)
}

func (o objectValue[T, U]) allowed() string            { return "mapping with " + names(o.fields) }
func (o objectValue[T, U]) nested(path string) []Field { return describe(o.fields, path) }
func (o objectValue[T, U]) assign(_ string, target *T) { o.store(target, defaults(o.fields)) }
func names[T any](fields []field[T]) string            { return strings.Join(nameList(fields), ", ") }

func nameList[T any](fields []field[T]) []string {
	list := make([]string, 0, len(fields))
	for _, f := range fields {
		list = append(list, f.name)
	}
	return list
}

func (o objectValue[T, U]) decode(d *decoder, path string, node ast.Node, target *T) {
	if v, ok := decodeObject(d, path, node, o.fields); ok {
		o.store(target, v)
	}
}

func object[T, U any](fields []field[U], access func(*T) *U) value[T] {
	return objectValue[T, U]{fields, func(target *T, v U) { *access(target) = v }}
}

// optional is a mapping whose absence means off.
func optional[T, U any](fields []field[U], access func(*T) **U) value[T] {
	return objectValue[T, U]{fields, func(target *T, v U) { *access(target) = &v }}
}

// decodeObject reads a mapping. Unknown, repeated and missing fields are problems.
func decodeObject[T any](d *decoder, path string, node ast.Node, fields []field[T]) (T, bool) {
	t := defaults(fields)
	entries, ok := d.mapping(path, node, "mapping with "+names(fields))
	if !ok {
		return t, false
	}
	seen := map[string]bool{}
	for _, entry := range entries {
		name, ok := d.key(path, entry, names(fields))
		if !ok {
			continue
		}
		if seen[name] {
			d.report(entry.Key, join(path, name), "is repeated", "each field once")
			continue
		}
		seen[name] = true
		decodeField(d, path, name, entry, fields, &t)
	}
	for _, f := range fields {
		if f.required && !seen[f.name] {
			d.report(node, join(path, f.name), "is missing", f.value.allowed())
		}
	}
	return t, true
}

func decodeField[T any](d *decoder, path, name string, entry *ast.MappingValueNode, fields []field[T], t *T) {
	for _, f := range fields {
		if f.name == name {
			f.value.decode(d, join(path, name), entry.Value, t)
			return
		}
	}
	d.report(entry.Key, join(path, shortName(name)), "is not a known field", names(fields))
}

func shortName(name string) string { return name[:min(len(name), maxQuoted)] }

// listValue is a sequence of mappings.
type listValue[T, U any] struct {
	fields    []field[U]
	low, high int
	access    func(*T) *[]U
}

func objects[T, U any](fields []field[U], low, high int, access func(*T) *[]U) value[T] {
	return listValue[T, U]{fields, low, high, access}
}

func (l listValue[T, U]) allowed() string {
	return fmt.Sprintf("list of %d to %d mappings with %s", l.low, l.high, names(l.fields))
}
func (l listValue[T, U]) nested(path string) []Field { return describe(l.fields, path+"[]") }
func (l listValue[T, U]) assign(string, *T)          { panic("a list has no default") }

func (l listValue[T, U]) decode(d *decoder, path string, node ast.Node, target *T) {
	items, ok := d.sequence(path, node, l.low, l.high, l.allowed())
	if !ok {
		return
	}
	for i, item := range items {
		v, _ := decodeObject(d, fmt.Sprintf("%s[%d]", path, i), item, l.fields)
		*l.access(target) = append(*l.access(target), v)
	}
}

// textsValue is a sequence of different texts.
type textsValue[T any] struct {
	rule   rule
	high   int
	access func(*T) *[]string
}

func texts[T any](r rule, high int, access func(*T) *[]string) value[T] {
	return textsValue[T]{r, high, access}
}

func (v textsValue[T]) allowed() string {
	return fmt.Sprintf("list of up to %d different texts: %s", v.high, v.rule.text)
}
func (v textsValue[T]) nested(string) []Field { return nil }
func (v textsValue[T]) assign(string, *T)     { panic("a list has no default") }

func (v textsValue[T]) decode(d *decoder, path string, node ast.Node, target *T) {
	items, ok := d.sequence(path, node, 0, v.high, v.allowed())
	if !ok {
		return
	}
	seen := map[string]bool{}
	for i, item := range items {
		itemPath := fmt.Sprintf("%s[%d]", path, i)
		s, ok := d.scalarText(itemPath, item, []ast.NodeType{ast.StringType}, v.rule.text)
		switch {
		case !ok:
		case !v.rule.pattern.MatchString(s):
			d.report(item, itemPath, shorten(s)+" is not allowed", v.rule.text)
		case seen[s]:
			d.report(item, itemPath, shorten(s)+" is repeated", "each text once")
		default:
			seen[s] = true
			*v.access(target) = append(*v.access(target), s)
		}
	}
}
