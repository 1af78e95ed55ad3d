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
	s := newServiceCommand("list", "lists the current revision of every service", "").withStore().withTimeout()
	s.run = s.list
	return s.subcommand
}

func (s *serviceCommand) list(ctx context.Context, std streams) int {
	out := &output{std: std, json: s.json}
	return s.edit(ctx, out, func(ctx context.Context, e *document.Editor) error {
		documents, corrupt, err := e.List(ctx)
		if err != nil {
			return err
		}
		for i := range documents {
			documents[i].Body = ""
		}
		out.result(append([]document.Document{}, documents...), func() { out.documents(documents) })
		for _, c := range corrupt {
			fmt.Fprintf(std.err, "%s: %s\n", programName, eris.ToString(c, false))
		}
		if len(corrupt) > 0 {
			return eris.Wrapf(document.ErrCorrupt, "%d records", len(corrupt))
		}
		return nil
	})
}

func (o *output) documents(documents []document.Document) {
	rows := [][]string{{"SERVICE", "REVISION", "STATE", "AT", "AUTHOR"}}
	for _, d := range documents {
		rows = append(rows, []string{d.Service, strconv.FormatUint(d.Revision, 10), state(d.Deleted, false), formatTime(d.At), d.Author})
	}
	o.table(rows)
}

// newServiceHistory returns the subcommand that lists the revisions of one service.
func newServiceHistory() *subcommand {
	s := newServiceCommand("history", "lists the kept revisions of a service, newest first", "service").withStore().withTimeout()
	s.run = s.history
	return s.subcommand
}

func (s *serviceCommand) history(ctx context.Context, std streams) int {
	out := &output{std: std, json: s.json}
	if !s.needArgument(std, "service") {
		return ExitUsage
	}
	return s.edit(ctx, out, func(ctx context.Context, e *document.Editor) error {
		revisions, err := e.History(ctx, s.argument)
		if err == nil {
			out.result(revisions, func() { out.revisions(revisions) })
		}
		return err
	})
}

func (o *output) revisions(revisions []document.Past) {
	rows := [][]string{{"REVISION", "STATE", "AT", "AUTHOR", "EDIT"}}
	for _, p := range revisions {
		rows = append(rows, []string{strconv.FormatUint(p.Revision, 10), state(p.Deleted, p.BodyDropped), formatTime(p.At), p.Author, p.EditID})
	}
	o.table(rows)
}
