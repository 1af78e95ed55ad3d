package settings

import "strings"

// Rule is a constraint on the combination of several settings. It is checked after each setting has been found valid.
type Rule struct {
	// Names are the names of the settings that the rule involves.
	Names []string
	// IsViolated reports whether the rule is violated. It reads the targets of the settings.
	IsViolated func() bool
	// Problem describes what is wrong and what is allowed. In the message it follows the names.
	Problem string
	// WarnOnly makes a violation of the rule a warning instead of an error.
	WarnOnly bool
}

// AddRule adds a rule.
func (s *Set) AddRule(r Rule) { s.rules = append(s.rules, r) }

// Warnings returns the messages of the violated rules that are warnings. It is valid after Resolve.
func (s *Set) Warnings() []string { return s.warnings }

// checkRules returns the messages of the violated rules that are errors, and stores the warnings.
func (s *Set) checkRules() []string {
	var problems []string
	s.warnings = nil
	for _, r := range s.rules {
		switch {
		case !r.IsViolated():
		case r.WarnOnly:
			s.warnings = append(s.warnings, s.ruleMessage(r))
		default:
			problems = append(problems, s.ruleMessage(r))
		}
	}
	return problems
}

// ruleMessage returns the message of a violated rule, which names each setting with its source. Values are left out, because
// a setting can be a secret token.
func (s *Set) ruleMessage(r Rule) string {
	parts := make([]string, len(r.Names))
	for i, name := range r.Names {
		parts[i] = name + " (from " + s.sourceOf(name) + ")"
	}
	return strings.Join(parts, " and ") + ": " + r.Problem
}

func (s *Set) sourceOf(name string) string {
	for _, e := range s.settings {
		if e.name == name {
			return e.source
		}
	}
	return "nowhere"
}
