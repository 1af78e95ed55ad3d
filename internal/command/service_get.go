package command

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/document"
)

// maxRevision is above any revision that edits can reach.
const maxRevision = 1_000_000_000

// serviceGet prints one revision of a document.
type serviceGet struct {
	*serviceCommand
	revision int
}

// newServiceGet returns the subcommand that prints a document.
func newServiceGet() *subcommand {
	s := &serviceGet{serviceCommand: newServiceCommand("get", "prints the document of a service", "service").withStore().withTimeout()}
	s.settings.Int(&s.revision, "revision", 0, 0, maxRevision, "former revision to print; 0 is the current one")
	s.run = s.get
	return s.subcommand
}

func (s *serviceGet) get(ctx context.Context, std streams) int {
	out := &output{std: std, json: s.json}
	if !s.needArgument(std, "service") {
		return ExitUsage
	}
	return s.edit(ctx, out, func(ctx context.Context, e *document.Editor) error {
		revisions, err := e.History(ctx, s.argument)
		if err != nil {
			return err
		}
		p, err := s.choose(revisions)
		if err != nil {
			return err
		}
		s.print(out, p)
		return nil
	})
}

// choose returns the wanted revision with its body.
func (s *serviceGet) choose(revisions []document.Past) (document.Past, error) {
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
	return document.Past{}, eris.Wrapf(document.ErrNotFound, "revision %d of %s", s.revision, s.argument)
}

// print writes the body alone to the standard output, so that it can be edited and put again.
func (s *serviceGet) print(out *output, p document.Past) {
	d := document.Document{Service: s.argument, Revision: p.Revision, EditID: p.EditID, Author: p.Author, At: p.At, Body: p.Body}
	out.result(d, func() {
		fmt.Fprintf(out.std.err, "revision %d by %s at %s\n", p.Revision, p.Author, formatTime(p.At))
		fmt.Fprint(out.std.out, p.Body)
	})
}
