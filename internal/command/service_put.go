package command

import (
	"context"
	"fmt"
	"os/user"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/document"
)

// serviceEdit is a subcommand that changes a document.
type serviceEdit struct {
	*serviceCommand
	author   string
	expected uint64
}

func newServiceEdit(name, description, argument string) *serviceEdit {
	s := &serviceEdit{serviceCommand: newServiceCommand(name, description, argument).withStore().withTimeout()}
	s.settings.String(&s.author, "author", currentUser(), "author of the edit, kept in the history", true)
	s.settings.Custom("expect-revision", "", "revision on which the edit is based, required; 0 if there is no document",
		"whole number from 0", s.parseExpected)
	return s
}

func (s *serviceEdit) parseExpected(value string) error {
	if value == "" {
		return eris.New("is not set")
	}
	n, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		return eris.New("is not a revision")
	}
	s.expected = n
	return nil
}

// currentUser returns the name of the user of the process, or nothing.
func currentUser() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}

// newServicePut returns the subcommand that writes a document.
func newServicePut() *subcommand {
	s := newServiceEdit("put", "writes the document in a file as the next revision", "file")
	s.run = s.put
	return s.subcommand
}

// accepted is the result of an edit in JSON.
type accepted struct {
	Service  string `json:"service"`
	Revision uint64 `json:"revision"`
	EditID   string `json:"edit_id"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func (s *serviceEdit) put(ctx context.Context, std streams) int {
	out := &output{std: std, json: s.json}
	body, parsed, exit, ok := s.parseDocument(std, out)
	if !ok {
		return exit
	}
	return s.edit(ctx, out, func(ctx context.Context, e *document.Editor) error {
		d, err := e.Put(ctx, document.Edit{Service: parsed.Name, Expected: s.expected, Author: s.author, Body: body})
		if err == nil {
			out.accepted(d, "written")
		}
		return err
	})
}

func (o *output) accepted(d document.Document, verb string) {
	o.result(accepted{d.Service, d.Revision, d.EditID, d.Deleted}, func() {
		fmt.Fprintf(o.std.out, "revision %d of %s was %s\n", d.Revision, d.Service, verb)
	})
}

// newServiceDelete returns the subcommand that deletes a document.
func newServiceDelete() *subcommand {
	s := newServiceEdit("delete", "deletes the document of a service", "service")
	s.run = s.remove
	return s.subcommand
}

func (s *serviceEdit) remove(ctx context.Context, std streams) int {
	out := &output{std: std, json: s.json}
	if !s.needArgument(std, "service") {
		return ExitUsage
	}
	return s.edit(ctx, out, func(ctx context.Context, e *document.Editor) error {
		d, err := e.Delete(ctx, document.Edit{Service: s.argument, Expected: s.expected, Author: s.author})
		if err == nil {
			out.accepted(d, "deleted")
		}
		return err
	})
}
