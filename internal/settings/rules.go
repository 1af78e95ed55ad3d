package settings

import "strings"

// Rule is a condition on several settings together. It is checked after every setting was found to be allowed by itself.
type Rule struct {
	// Names are the settings that the rule is about.
	Names []string
	// Broken reports whether the rule is broken. It reads the targets of the settings.
	Broken func() bool
	// Problem tells what is wrong and what is allowed. It follows the names in the message.
	Problem string
	// Warn makes a broken rule a warning and not an error.
	Warn bool
}

// AddRule adds a rule.
func (s *Set) AddRule(r Rule) { s.rules = append(s.rules, r) }

// Warnings returns the messages of the broken rules that are warnings, after Resolve.
func (s *Set) Warnings() []string { return s.warnings }

// checkRules returns the messages of the broken rules and keeps the warnings.
func (s *Set) checkRules() []string {
	var problems []string
	s.warnings = nil
	for _, r := range s.rules {
		switch {
		case !r.Broken():
		case r.Warn:
			s.warnings = append(s.warnings, s.message(r))
		default:
			problems = append(problems, s.message(r))
		}
	}
	return problems
}

// message names each setting with its source. Values are left out, because a setting can be a token.
func (s *Set) message(r Rule) string {
	parts := make([]string, len(r.Names))
	for i, name := range r.Names {
		parts[i] = name + " (from " + s.sourceOf(name) + ")"
	}
	return strings.Join(parts, " and ") + ": " + r.Problem
}

func (s *Set) sourceOf(name string) string {
	for _, e := range s.entries {
		if e.name == name {
			return e.source
		}
	}
	return "nowhere"
}
