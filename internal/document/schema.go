package document

import (
	"github.com/goccy/go-yaml/ast"
)

// Field describes one field of a document for the documentation.
type Field struct {
	// Path is the path of the field, for example kinds[].deadline.
	Path string `json:"path"`
	// Meaning explains the field in one phrase.
	Meaning string `json:"meaning"`
	// Unit is empty for a field without one.
	Unit string `json:"unit,omitempty"`
	// Default describes the value of a missing field; "required" for a field that must be present.
	Default string `json:"default"`
	// Allowed describes the allowed values.
	Allowed string `json:"allowed"`
}

// Fields describes every field of a document, in the order of the schema.
func Fields() []Field { return describeFields(serviceFields, "") }

// field is the schema of one field of a mapping that is decoded into T.
type field[T any] struct {
	name     string
	meaning  string
	unit     string
	required bool
	// defaultText is the default as it would be written in a document; empty for none.
	defaultText string
	// defaultNote describes a default that defaultText does not explain, such as one taken from another field.
	defaultNote string
	value       value[T]
}

// value describes the value of a field and decodes it into T.
type value[T any] interface {
	// allowedText returns the description of the allowed values.
	allowedText() string
	// decode decodes node into target and reports problems to d under the given path.
	decode(d *decoder, path string, node ast.Node, target *T)
	// setDefault sets the value from the defaultText of the field.
	setDefault(text string, target *T)
	// subfields describes the fields of a mapping, or of the mappings of a list; nil for other values.
	subfields(path string) []Field
}

// defaultsOf returns a T in which every field has its default.
func defaultsOf[T any](fields []field[T]) T {
	var t T
	for _, f := range fields {
		if f.defaultText != "" {
			f.value.setDefault(f.defaultText, &t)
		}
	}
	return t
}

func describeFields[T any](fields []field[T], prefix string) []Field {
	var all []Field
	for _, f := range fields {
		path := joinPath(prefix, f.name)
		all = append(all, Field{
			Path: path, Meaning: f.meaning, Unit: f.unit, Default: f.describeDefault(), Allowed: f.value.allowedText(),
		})
		all = append(all, f.value.subfields(path)...)
	}
	return all
}

func (f field[T]) describeDefault() string {
	switch {
	case f.required:
		return "required"
	case f.defaultText != "" && f.defaultNote != "":
		return f.defaultText + " (" + f.defaultNote + ")"
	case f.defaultNote != "":
		return f.defaultNote
	default:
		return f.defaultText
	}
}

func joinPath(prefix, name string) string {
	if prefix == "" {
		return name
	}
	return prefix + "." + name
}
