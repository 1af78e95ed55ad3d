package command

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/clock"
	"github.com/coltsfootspur/coltsfootspur/internal/document"
	"github.com/coltsfootspur/coltsfootspur/internal/store"
)

// Exit codes of the group service in addition to ExitOK, ExitFailure and ExitUsage. Scripts depend on them.
const (
	// ExitConflict: another edit came first; nothing was written.
	ExitConflict = 3
	// ExitInvalid: the document is invalid; nothing was written.
	ExitInvalid = 4
	// ExitUnreachable: the store did not answer; nothing was written.
	ExitUnreachable = 5
	// ExitNotFound: there is no document for the service, or no such revision.
	ExitNotFound = 6
	// ExitUnclear: the edit may have been accepted or may still take effect; the history shows whether it did.
	ExitUnclear = 7
	// ExitNotIndexed: the edit was accepted and must not be repeated; it may take effect late.
	ExitNotIndexed = 8
)

// Default and bounds of the setting timeout, which limits a whole subcommand.
const (
	defaultServiceTimeout = 15 * time.Second
	minServiceTimeout     = 100 * time.Millisecond
	maxServiceTimeout     = 10 * time.Minute
)

// newServiceGroup returns the group of subcommands for service documents.
func newServiceGroup() *group {
	return newGroup("service", "check, read and change service documents",
		newServiceValidate(), newServicePut(), newServiceDelete(), newServiceGet(), newServiceList(),
		newServiceHistory(), newServiceWatch())
}

// serviceCommand holds what the subcommands for documents have in common.
type serviceCommand struct {
	*subcommand
	argument   string
	jsonOutput bool
	timeout    time.Duration
	store      storeSettings
}

// newServiceCommand returns a subcommand with the setting json. argument names its positional argument; empty for none.
func newServiceCommand(name, description, argument string) *serviceCommand {
	s := &serviceCommand{subcommand: newSubcommand(name, description)}
	if argument != "" {
		s.flags.AddPositionalValue(&s.argument, argument, 1, false, argument)
	}
	s.settings.Bool(&s.jsonOutput, "json", false, "print JSON")
	return s
}

// withStore adds the settings of the store.
func (s *serviceCommand) withStore() *serviceCommand {
	s.store.register(s.settings)
	return s
}

// withTimeout adds the setting timeout.
func (s *serviceCommand) withTimeout() *serviceCommand {
	s.settings.Duration(&s.timeout, "timeout", defaultServiceTimeout, minServiceTimeout, maxServiceTimeout,
		"longest time for the whole subcommand")
	return s
}

// runWithEditor runs work with an editor under the timeout and returns the exit code.
func (s *serviceCommand) runWithEditor(ctx context.Context, out *output, work func(ctx context.Context, e *document.Editor) error) int {
	store, err := s.store.open()
	if err != nil {
		return out.printError(err)
	}
	defer store.Close()
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	if err := work(ctx, document.NewEditor(store, clock.System{})); err != nil {
		return out.printError(err)
	}
	return ExitOK
}

// requireArgument returns false and prints an error if the positional argument is missing.
func (s *serviceCommand) requireArgument(std streams, name string) bool {
	if s.argument == "" {
		fmt.Fprintf(std.err, "%s: the argument %s is missing\n", programName, name)
		return false
	}
	return true
}

// errorClass is the class of an error: its exit code and its name in JSON.
type errorClass struct {
	exitCode int
	jsonCode string
}

// classifyError returns the first class that matches err. An error that matches none is a failure.
func classifyError(err error) errorClass {
	switch {
	case errors.Is(err, document.ErrNotIndexed):
		return errorClass{ExitNotIndexed, "not_indexed"}
	case errors.Is(err, document.ErrConflict):
		return errorClass{ExitConflict, "conflict"}
	case errors.Is(err, document.ErrInvalid):
		return errorClass{ExitInvalid, "invalid"}
	case errors.Is(err, document.ErrUnreachable), errors.Is(err, store.ErrUnavailable):
		return errorClass{ExitUnreachable, "unreachable"}
	case errors.Is(err, document.ErrNotFound):
		return errorClass{ExitNotFound, "not_found"}
	case errors.Is(err, document.ErrOutcomeUnknown):
		return errorClass{ExitUnclear, "unclear"}
	default:
		return errorClass{ExitFailure, "failure"}
	}
}
