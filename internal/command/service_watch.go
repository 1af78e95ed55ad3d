package command

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/document"
	"github.com/coltsfootspur/coltsfootspur/internal/platform"
)

const (
	// watchWait is the length of one blocking query.
	watchWait = 30 * time.Second
	// watchRetry is the wait after a failed one.
	watchRetry = time.Second
)

// newServiceWatch returns the subcommand that prints changes as they come.
func newServiceWatch() *subcommand {
	s := newServiceCommand("watch", "prints the current revisions and then each new one, of one service or of all", "service").withStore()
	s.run = s.watch
	return s.subcommand
}

// watch runs until it is interrupted. A store that does not answer is reported once and tried again.
func (s *serviceCommand) watch(ctx context.Context, std streams) int {
	out := &output{std: std, json: s.json}
	store, err := s.store.open()
	if err != nil {
		return out.fail(err)
	}
	defer store.Close()
	registry, index, failing := document.NewRegistry(), uint64(0), false
	for ctx.Err() == nil {
		snapshot, err := store.Watch(ctx, document.Prefix, index, watchWait)
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			if !failing {
				fmt.Fprintf(std.err, "coltsfootspur: %s; trying again\n", eris.ToString(err, false))
			}
			failing = true
			pause(ctx, watchRetry)
			continue
		}
		failing, index = false, snapshot.Index
		s.printChanges(out, registry, snapshot.Entries)
	}
	return ExitOK
}

func (s *serviceCommand) printChanges(out *output, registry *document.Registry, entries []platform.Entry) {
	changes, corrupt := registry.ApplySnapshot(entries)
	for _, c := range corrupt {
		fmt.Fprintf(out.std.err, "coltsfootspur: %s\n", eris.ToString(c, false))
	}
	for _, c := range changes {
		d := c.Document
		if s.argument != "" && d.Service != s.argument {
			continue
		}
		d.Body = ""
		out.result(d, func() {
			fmt.Fprintf(out.std.out, "%s %s revision %d %s by %s\n", formatTime(d.At), d.Service, d.Revision, state(d.Deleted, false), d.Author)
		})
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
