package command

import (
	"context"
	"errors"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/entry"
	"github.com/coltsfootspur/coltsfootspur/platform"
)

func newEntryCommand() *subcommand {
	c := newSubcommand("entry", "run an entry, which takes jobs from callers")
	s := &entrySettings{set: c.settings}
	s.register()
	c.run = s.run
	role := &platform.EntryRole{}
	c.settings.Bool(&role.AdmitByShares, "admit-by-shares", false,
		"with --platform: refuse jobs by entitled shares while the demand exceeds the capacity")
	run := func(ctx context.Context, path string, logger log.Interface) error { return role.Run(ctx, path, logger) }
	c.platformMode = newPlatformMode(c.settings, &s.log, run, "admit-by-shares")
	return c
}

// run runs the entry until ctx ends and returns the exit code. An entry that was removed from the list of entries, for
// example because the process was paused until its lease expired, starts again under a new incarnation.
func (s *entrySettings) run(ctx context.Context, std streams) int {
	logger := s.log.logger(std.err)
	logWarnings(logger, "entry", s.set)
	s.options.Log = logger
	s.options.MaxAnswerBytes = s.maxAnswerMB << 20
	s.options.Resources.MemoryBytes = int64(s.memoryMB) << 20
	store, err := s.store.open()
	if err != nil {
		return reportError(std, err, ExitUsage)
	}
	s.options.Store = store
	if s.options.LinkIdentity, s.options.ServerCertificate, err = s.tls.load(logger); err != nil {
		return reportError(std, err, ExitUsage)
	}
	for {
		e, err := entry.New(s.options)
		if err != nil {
			return reportError(std, err, ExitFailure)
		}
		err = e.Run(ctx)
		switch {
		case errors.Is(err, entry.ErrExpelled) && ctx.Err() == nil:
			logger.Warn("entry: removed from the list of entries, starting again under a new incarnation")
		case err != nil && !errors.Is(err, entry.ErrExpelled):
			logger.WithField("cause", eris.ToString(err, false)).Error("entry: stopped by an error")
			return ExitFailure
		default:
			return ExitOK
		}
	}
}
