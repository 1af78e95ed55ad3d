package command

import (
	"context"
	"fmt"
)

// newServiceValidate returns the subcommand that checks a file without the store.
func newServiceValidate() *subcommand {
	s := newServiceCommand("validate", "checks the document in a file", "file")
	s.run = s.validate
	return s.subcommand
}

// validity is the result in JSON.
type validity struct {
	Valid   bool   `json:"valid"`
	Service string `json:"service"`
}

func (s *serviceCommand) validate(_ context.Context, std streams) int {
	out := &output{std: std, json: s.json}
	_, parsed, exit, ok := s.parseDocument(std, out)
	if !ok {
		return exit
	}
	return out.result(validity{Valid: true, Service: parsed.Name}, func() {
		fmt.Fprintf(std.out, "document of %s is valid\n", parsed.Name)
	})
}
