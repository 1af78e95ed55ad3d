package command

import (
	"context"
	"fmt"
	"os/user"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/document"
)

// serviceEditCommand is a subcommand that changes a document.
type serviceEditCommand struct {
	*serviceCommand
	author           string
	expectedRevision uint64
}

func newServiceEdit(name, description, argument string) *serviceEditCommand {
	s := &serviceEditCommand{serviceCommand: newServiceCommand(name, description, argument).withStore().withTimeout()}
	s.settings.String(&s.author, "author", currentUser(), "author of the edit, kept in the history", true)
	s.settings.Custom("expect-revision", "", "revision on which the edit is based, required; 0 if there is no document",
		"whole number from 0", s.parseExpectedRevision)
	return s
}

func (s *serviceEditCommand) parseExpectedRevision(value string) error {
	if value == "" {
		return eris.New("is not set")
	}
	n, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		return eris.New("is not a revision")
	}
	s.expectedRevision = n
	return nil
}

// currentUser returns the name of the user who runs the process, or an empty text if it is unknown.
func currentUser() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}

// newServicePut returns the subcommand that writes a document.
func newServicePut() *subcommand {
	s := newServiceEdit("put", "write the document in a file as the next revision", "file")
	s.run = s.putDocument
	return s.subcommand
}

// editResult is the JSON form of the result of an edit.
type editResult struct {
	Service  string `json:"service"`
	Revision uint64 `json:"revision"`
	EditID   string `json:"edit_id"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func (s *serviceEditCommand) putDocument(ctx context.Context, std streams) int {
	out := &output{std: std, jsonOutput: s.jsonOutput}
	body, parsed, exit, ok := s.parseDocument(std, out)
	if !ok {
		return exit
	}
	return s.runWithEditor(ctx, out, func(ctx context.Context, e *document.Editor) error {
		d, err := e.Put(ctx, document.Edit{Service: parsed.Name, ExpectedRevision: s.expectedRevision, Author: s.author, Body: body})
		if err == nil {
			out.printEdit(d, "written")
		}
		return err
	})
}

func (o *output) printEdit(d document.Document, verb string) {
	o.printResult(editResult{d.Service, d.Revision, d.EditID, d.Deleted}, func() {
		fmt.Fprintf(o.std.out, "revision %d of %s was %s\n", d.Revision, d.Service, verb)
	})
}

// newServiceDelete returns the subcommand that deletes a document.
func newServiceDelete() *subcommand {
	s := newServiceEdit("delete", "delete the document of a service", "service")
	s.run = s.deleteDocument
	return s.subcommand
}

func (s *serviceEditCommand) deleteDocument(ctx context.Context, std streams) int {
	out := &output{std: std, jsonOutput: s.jsonOutput}
	if !s.requireArgument(std, "service") {
		return ExitUsage
	}
	return s.runWithEditor(ctx, out, func(ctx context.Context, e *document.Editor) error {
		d, err := e.Delete(ctx, document.Edit{Service: s.argument, ExpectedRevision: s.expectedRevision, Author: s.author})
		if err == nil {
			out.printEdit(d, "deleted")
		}
		return err
	})
}
