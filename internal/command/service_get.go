package command

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/document"
)

// maxRevision is the upper bound of the setting revision. No document reaches that many edits.
const maxRevision = 1_000_000_000

// serviceGetCommand is the subcommand that prints one revision of a document.
type serviceGetCommand struct {
	*serviceCommand
	revision int
}

// newServiceGet returns the subcommand that prints a document.
func newServiceGet() *subcommand {
	s := &serviceGetCommand{serviceCommand: newServiceCommand("get", "print the document of a service", "service").withStore().withTimeout()}
	s.settings.Int(&s.revision, "revision", 0, 0, maxRevision, "revision to print; 0 for the current one")
	s.run = s.get
	return s.subcommand
}

func (s *serviceGetCommand) get(ctx context.Context, std streams) int {
	out := &output{std: std, jsonOutput: s.jsonOutput}
	if !s.requireArgument(std, "service") {
		return ExitUsage
	}
	return s.runWithEditor(ctx, out, func(ctx context.Context, e *document.Editor) error {
		revisions, err := e.History(ctx, s.argument)
		if err != nil {
			return err
		}
		p, err := s.selectRevision(revisions)
		if err != nil {
			return err
		}
		s.print(out, p)
		return nil
	})
}

// selectRevision returns the requested revision with its body. revisions are ordered newest first. It returns
// document.ErrNotFound if the revision does not exist, was deleted or has no body any more.
func (s *serviceGetCommand) selectRevision(revisions []document.PastRevision) (document.PastRevision, error) {
	for i, p := range revisions {
		if i > 0 && s.revision == 0 || s.revision != 0 && p.Revision != uint64(s.revision) {
			continue
		}
		switch {
		case p.Deleted:
			return p, eris.Wrapf(document.ErrNotFound, "%s was deleted as revision %d by %s", s.argument, p.Revision, p.Author)
		case p.BodyDropped:
			return p, eris.Wrapf(document.ErrNotFound, "the body of revision %d of %s is not kept any more", p.Revision, s.argument)
		}
		return p, nil
	}
	return document.PastRevision{}, eris.Wrapf(document.ErrNotFound, "revision %d of %s", s.revision, s.argument)
}

// print writes the body alone to the standard output, so that it can be redirected to a file, edited and put again.
func (s *serviceGetCommand) print(out *output, p document.PastRevision) {
	d := document.Document{Service: s.argument, Revision: p.Revision, EditID: p.EditID, Author: p.Author, EditedAt: p.EditedAt, Body: p.Body}
	out.printResult(d, func() {
		fmt.Fprintf(out.std.err, "revision %d by %s at %s\n", p.Revision, p.Author, formatTime(p.EditedAt))
		fmt.Fprint(out.std.out, p.Body)
	})
}
