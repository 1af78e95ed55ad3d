package command

import (
	"context"
	"fmt"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/document"
)

// newServiceList returns the subcommand that lists all documents.
func newServiceList() *subcommand {
	s := newServiceCommand("list", "list the current revision of every service", "").withStore().withTimeout()
	s.run = s.listDocuments
	return s.subcommand
}

func (s *serviceCommand) listDocuments(ctx context.Context, std streams) int {
	out := &output{std: std, jsonOutput: s.jsonOutput}
	return s.runWithEditor(ctx, out, func(ctx context.Context, e *document.Editor) error {
		documents, corrupt, err := e.List(ctx)
		if err != nil {
			return err
		}
		for i := range documents {
			documents[i].Body = ""
		}
		out.printResult(append([]document.Document{}, documents...), func() { out.printDocuments(documents) })
		for _, c := range corrupt {
			fmt.Fprintf(std.err, "%s: %s\n", programName, eris.ToString(c, false))
		}
		if len(corrupt) > 0 {
			return eris.Wrapf(document.ErrCorrupt, "%d records cannot be decoded", len(corrupt))
		}
		return nil
	})
}

func (o *output) printDocuments(documents []document.Document) {
	rows := [][]string{{"SERVICE", "REVISION", "STATE", "AT", "AUTHOR"}}
	for _, d := range documents {
		rows = append(rows, []string{d.Service, strconv.FormatUint(d.Revision, 10), revisionState(d.Deleted, false), formatTime(d.EditedAt), d.Author})
	}
	o.printTable(rows)
}

// newServiceHistory returns the subcommand that lists the revisions of one service.
func newServiceHistory() *subcommand {
	s := newServiceCommand("history", "list the kept revisions of a service, newest first", "service").withStore().withTimeout()
	s.run = s.listRevisions
	return s.subcommand
}

func (s *serviceCommand) listRevisions(ctx context.Context, std streams) int {
	out := &output{std: std, jsonOutput: s.jsonOutput}
	if !s.requireArgument(std, "service") {
		return ExitUsage
	}
	return s.runWithEditor(ctx, out, func(ctx context.Context, e *document.Editor) error {
		revisions, err := e.History(ctx, s.argument)
		if err == nil {
			out.printResult(revisions, func() { out.printRevisions(revisions) })
		}
		return err
	})
}

func (o *output) printRevisions(revisions []document.PastRevision) {
	rows := [][]string{{"REVISION", "STATE", "AT", "AUTHOR", "EDIT"}}
	for _, p := range revisions {
		rows = append(rows, []string{strconv.FormatUint(p.Revision, 10), revisionState(p.Deleted, p.BodyDropped), formatTime(p.EditedAt), p.Author, p.EditID})
	}
	o.printTable(rows)
}
