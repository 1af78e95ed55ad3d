package document

import (
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrInvalid is returned for a document with at least one problem. The error is an *InvalidError.
var ErrInvalid = eris.New("service document is invalid")

// maxProblems is the largest number of problems that an InvalidError lists.
const maxProblems = 50

// Problem is one error in a document.
type Problem struct {
	// Line and Column start at 1; 0 means the document as a whole.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Field is the path of the field, for example kinds[2].deadline; empty for the document as a whole.
	Field string `json:"field,omitempty"`
	// Message describes the error.
	Message string `json:"message"`
	// Allowed describes the values that are allowed for the field.
	Allowed string `json:"allowed,omitempty"`
}

// String returns the problem as one line of text.
func (p Problem) String() string {
	var b strings.Builder
	if p.Line > 0 {
		fmt.Fprintf(&b, "line %d, column %d: ", p.Line, p.Column)
	}
	if p.Field != "" {
		b.WriteString(p.Field + ": ")
	}
	b.WriteString(p.Message)
	if p.Allowed != "" {
		b.WriteString("; allowed: " + p.Allowed)
	}
	return b.String()
}

// InvalidError lists the problems of a document in the order of their positions. It matches ErrInvalid.
type InvalidError struct {
	Problems []Problem
	// Omitted is the number of problems that are not listed.
	Omitted int
}

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	if e.Omitted > 0 {
		lines = append(lines, fmt.Sprintf("and %d more problems", e.Omitted))
	}
	return strings.Join(lines, "\n")
}

// Is makes errors.Is(err, ErrInvalid) true.
func (e *InvalidError) Is(target error) bool { return target == ErrInvalid }
