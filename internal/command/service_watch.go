package command

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/document"
	"github.com/coltsfootspur/coltsfootspur/internal/store"
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
	w := &serviceWatch{serviceCommand: s, out: out, store: store, registry: document.NewRegistry()}
	failing := false
	for ctx.Err() == nil {
		err := w.next(ctx)
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			if !failing {
				fmt.Fprintf(std.err, "%s: %s; trying again\n", programName, eris.ToString(err, false))
			}
			failing = true
			pause(ctx, watchRetry)
			continue
		}
		failing = false
	}
	return ExitOK
}

// serviceWatch follows the index of the documents and reads the records that it shows as changed.
type serviceWatch struct {
	*serviceCommand
	out      *output
	store    store.Store
	registry *document.Registry
	loaded   bool
	// at is the position of the last snapshot of the index.
	at uint64
}

// next prints all revisions at the first call, and what changed at a later one.
func (w *serviceWatch) next(ctx context.Context) error {
	if !w.loaded {
		all, err := w.store.List(ctx, document.Prefix)
		if err != nil {
			return err
		}
		w.loaded = true
		w.printChanges(w.out, w.registry, all.Entries)
	}
	snapshot, err := w.store.Watch(ctx, document.IndexKey, w.at, watchWait)
	if err != nil {
		return err
	}
	for _, entry := range snapshot.Entries {
		index, err := document.DecodeIndex(entry.Value)
		if entry.Key != document.IndexKey || err != nil {
			continue
		}
		if err := w.read(ctx, w.registry.Outdated(index)); err != nil {
			return err
		}
	}
	w.at = snapshot.Index
	return nil
}

func (w *serviceWatch) read(ctx context.Context, services []string) error {
	for _, service := range services {
		entry, err := w.store.Get(ctx, document.Key(service))
		if errors.Is(err, store.ErrNotFound) {
			continue
		}
		if err != nil {
			return err
		}
		w.printChanges(w.out, w.registry, []store.Entry{entry})
	}
	return nil
}

func (s *serviceCommand) printChanges(out *output, registry *document.Registry, entries []store.Entry) {
	changes, corrupt := registry.ApplySnapshot(entries)
	for _, c := range corrupt {
		fmt.Fprintf(out.std.err, "%s: %s\n", programName, eris.ToString(c, false))
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
