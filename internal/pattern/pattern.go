// Package pattern provides regular expressions that are compiled on first use. Compiling a large expression takes tens of
// milliseconds of CPU time, which would otherwise delay every start of a process.
package pattern

import (
	"regexp"
	"sync"
)

// Pattern is a regular expression that is compiled on first use. Its copies share the compiled expression.
type Pattern struct {
	compile func() *regexp.Regexp
}

// New returns a pattern. An invalid expression panics on first use.
func New(expression string) Pattern {
	return Pattern{compile: sync.OnceValue(func() *regexp.Regexp { return regexp.MustCompile(expression) })}
}

// MatchString reports whether the text matches.
func (p Pattern) MatchString(text string) bool { return p.compile().MatchString(text) }
