package document

import (
	"github.com/goccy/go-yaml/ast"
)

// Field describes one field of a document for people.
type Field struct {
	// Path is the path of the field, for example kinds[].deadline.
	Path string `json:"path"`
	// Meaning is one phrase.
	Meaning string `json:"meaning"`
	// Unit is empty for a field without one.
	Unit string `json:"unit,omitempty"`
	// Default is what a missing field means; "required" for a field that must be present.
	Default string `json:"default"`
	// Allowed states the allowed values.
	Allowed string `json:"allowed"`
}

// Fields describes every field of a document, in the order of the schema.
func Fields() []Field { return describe(serviceFields, "") }

// field is one field of an object that is decoded into T.
type field[T any] struct {
	name     string
	meaning  string
	unit     string
	required bool
	// fallback is the default as a document would write it; empty for none.
	fallback string
	// note describes the default for people where fallback does not.
	note  string
	value value[T]
}

// value decodes the value of a field into T.
type value[T any] interface {
	// allowed describes the allowed values.
	allowed() string
	// decode reads node and reports problems to d under the given path.
	decode(d *decoder, path string, node ast.Node, target *T)
	// assign sets the value from the text of a default.
	assign(text string, target *T)
	// nested describes the fields of an object.
	nested(path string) []Field
}

// defaults returns a T with the defaults of its fields.
func defaults[T any](fields []field[T]) T {
	var t T
	for _, f := range fields {
		if f.fallback != "" {
			f.value.assign(f.fallback, &t)
		}
	}
	return t
}

func describe[T any](fields []field[T], prefix string) []Field {
	var all []Field
	for _, f := range fields {
		path := join(prefix, f.name)
		all = append(all, Field{
			Path: path, Meaning: f.meaning, Unit: f.unit, Default: f.describeDefault(), Allowed: f.value.allowed(),
		})
		all = append(all, f.value.nested(path)...)
	}
	return all
}

func (f field[T]) describeDefault() string {
	switch {
	case f.required:
		return "required"
	case f.fallback != "" && f.note != "":
		return f.fallback + " (" + f.note + ")"
	case f.note != "":
		return f.note
	default:
		return f.fallback
	}
}

func join(prefix, name string) string {
	if prefix == "" {
		return name
	}
	return prefix + "." + name
}
