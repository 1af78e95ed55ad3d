package command

import (
	"context"
	"fmt"
)

// newServiceValidate returns the subcommand that checks a file without access to the store.
func newServiceValidate() *subcommand {
	s := newServiceCommand("validate", "check the document in a file", "file")
	s.run = s.validate
	return s.subcommand
}

// validationResult is the JSON form of the result for a valid document.
type validationResult struct {
	Valid   bool   `json:"valid"`
	Service string `json:"service"`
}

func (s *serviceCommand) validate(_ context.Context, std streams) int {
	out := &output{std: std, jsonOutput: s.jsonOutput}
	_, parsed, exit, ok := s.parseDocument(std, out)
	if !ok {
		return exit
	}
	return out.printResult(validationResult{Valid: true, Service: parsed.Name}, func() {
		fmt.Fprintf(std.out, "document of %s is valid\n", parsed.Name)
	})
}
