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
	// blockingQueryWait is the longest time that one blocking query waits for a change.
	blockingQueryWait = 30 * time.Second
	// watchRetryDelay is the delay before the next query after a failed one.
	watchRetryDelay = time.Second
)

// newServiceWatch returns the subcommand that prints changes as they happen.
func newServiceWatch() *subcommand {
	s := newServiceCommand("watch", "print the current revisions and then each new one, of one service or of all", "service").withStore()
	s.run = s.watchDocuments
	return s.subcommand
}

// watchDocuments runs until ctx ends. Consecutive failures of the store are reported once and retried.
func (s *serviceCommand) watchDocuments(ctx context.Context, std streams) int {
	out := &output{std: std, jsonOutput: s.jsonOutput}
	store, err := s.store.open()
	if err != nil {
		return out.printError(err)
	}
	defer store.Close()
	w := &documentWatcher{serviceCommand: s, out: out, store: store, registry: document.NewRegistry()}
	failing := false
	for ctx.Err() == nil {
		err := w.poll(ctx)
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			if !failing {
				fmt.Fprintf(std.err, "%s: %s; trying again\n", programName, eris.ToString(err, false))
			}
			failing = true
			sleep(ctx, watchRetryDelay)
			continue
		}
		failing = false
	}
	return ExitOK
}

// documentWatcher follows the index of the documents and reads the records that the index shows as changed.
type documentWatcher struct {
	*serviceCommand
	out      *output
	store    store.Store
	registry *document.Registry
	loaded   bool
	// storeIndex is the position of the last snapshot of the index.
	storeIndex uint64
}

// poll waits for one blocking query and prints the changed revisions. The first call prints all revisions beforehand.
func (w *documentWatcher) poll(ctx context.Context) error {
	if !w.loaded {
		all, err := w.store.List(ctx, document.Prefix)
		if err != nil {
			return err
		}
		w.loaded = true
		w.printChanges(w.out, w.registry, all.Entries)
	}
	snapshot, err := w.store.Watch(ctx, document.IndexKey, w.storeIndex, blockingQueryWait)
	if err != nil {
		return err
	}
	for _, entry := range snapshot.Entries {
		index, err := document.DecodeIndex(entry.Value)
		if entry.Key != document.IndexKey || err != nil {
			continue
		}
		if err := w.fetchAndPrint(ctx, w.registry.Outdated(index)); err != nil {
			return err
		}
	}
	w.storeIndex = snapshot.Index
	return nil
}

// fetchAndPrint reads the documents of the services and prints those that changed.
func (w *documentWatcher) fetchAndPrint(ctx context.Context, services []string) error {
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
		out.printResult(d, func() {
			fmt.Fprintf(out.std.out, "%s %s revision %d %s by %s\n",
				formatTime(d.EditedAt), d.Service, d.Revision, revisionState(d.Deleted, false), d.Author)
		})
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
