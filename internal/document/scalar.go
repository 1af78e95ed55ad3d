package document

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/goccy/go-yaml/ast"

	"github.com/coltsfootspur/coltsfootspur/internal/pattern"
)

// textRule is a pattern that a text has to match, with its description.
type textRule struct {
	pattern pattern.Pattern
	allowed string
}

// scalar describes a field whose value is one YAML scalar. The node must have one of types; parse converts its text into V
// and returns false for a value that is not allowed; allowed describes the allowed values.
type scalar[T, V any] struct {
	types   []ast.NodeType
	allowed string
	parse   func(text string) (V, bool)
	access  func(*T) *V
}

func (s scalar[T, V]) allowedText() string      { return s.allowed }
func (s scalar[T, V]) subfields(string) []Field { return nil }

func (s scalar[T, V]) setDefault(text string, target *T) {
	v, ok := s.parse(text)
	if !ok {
		panic("default " + text + " is not an allowed value of its field")
	}
	*s.access(target) = v
}

func (s scalar[T, V]) decode(d *decoder, path string, node ast.Node, target *T) {
	text, ok := d.scalarText(path, node, s.types, s.allowed)
	if !ok {
		return
	}
	v, ok := s.parse(text)
	if !ok {
		d.addProblem(node, path, fmt.Sprintf("%s is not allowed", quoteTruncated(text)), s.allowed)
		return
	}
	*s.access(target) = v
}

func text[T any](r textRule, access func(*T) *string) value[T] {
	parse := func(text string) (string, bool) { return text, r.pattern.MatchString(text) }
	return scalar[T, string]{[]ast.NodeType{ast.StringType}, r.allowed, parse, access}
}

func boolean[T any](access func(*T) *bool) value[T] {
	parse := func(text string) (bool, bool) { return text == "true", text == "true" || text == "false" }
	return scalar[T, bool]{[]ast.NodeType{ast.BoolType}, "true or false", parse, access}
}

func integer[T any](low, high int, access func(*T) *int) value[T] {
	return scalar[T, int]{[]ast.NodeType{ast.IntegerType}, integerText(low, high), integerParser(low, high), access}
}

// optionalInteger describes an integer that stays nil when the field is missing.
func optionalInteger[T any](low, high int, access func(*T) **int) value[T] {
	parse := func(text string) (*int, bool) {
		n, ok := integerParser(low, high)(text)
		return &n, ok
	}
	return scalar[T, *int]{[]ast.NodeType{ast.IntegerType}, integerText(low, high), parse, access}
}

func integerText(low, high int) string { return fmt.Sprintf("whole number from %d to %d", low, high) }

func integerParser(low, high int) func(string) (int, bool) {
	return func(text string) (int, bool) {
		n, err := strconv.Atoi(text)
		return n, err == nil && n >= low && n <= high
	}
}

func number[T any](low, high float64, access func(*T) *float64) value[T] {
	parse := func(text string) (float64, bool) {
		n, err := strconv.ParseFloat(text, 64)
		return n, err == nil && !math.IsNaN(n) && n >= low && n <= high
	}
	text := fmt.Sprintf("number from %s to %s", formatNumber(low), formatNumber(high))
	return scalar[T, float64]{[]ast.NodeType{ast.IntegerType, ast.FloatType}, text, parse, access}
}

func formatNumber(n float64) string { return strconv.FormatFloat(n, 'f', -1, 64) }

func duration[T any](low, high time.Duration, access func(*T) *time.Duration) value[T] {
	parse := func(text string) (time.Duration, bool) {
		v, err := time.ParseDuration(text)
		return v, err == nil && v >= low && v <= high
	}
	text := fmt.Sprintf("duration with a unit, such as 250ms or 2s, from %s to %s", low, high)
	return scalar[T, time.Duration]{[]ast.NodeType{ast.StringType}, text, parse, access}
}

// maxQuotedBytes is the largest number of bytes of a rejected value that a message quotes.
const maxQuotedBytes = 60

// quoteTruncated quotes a rejected value for a message and cuts it after maxQuotedBytes.
func quoteTruncated(text string) string {
	if len(text) > maxQuotedBytes {
		return strconv.Quote(text[:maxQuotedBytes]) + "..."
	}
	return strconv.Quote(text)
}
