package command

import (
	"context"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/settings"
	"github.com/coltsfootspur/coltsfootspur/internal/standin/consul"
)

// Bounds of the settings of the stand-in store.
const (
	minStandInValue = 1 << 10
	maxStandInValue = 16 << 20
	minStandInTTL   = 100 * time.Millisecond
	maxStandInTTL   = time.Hour
)

type standInPlatform struct {
	listen  string
	options consul.Options
	log     logSettings
}

func standinPlatformCommand() *subcommand {
	c := newSubcommand("platform", "stand-in for the platform's key-value service, in memory")
	s := &standInPlatform{}
	s.register(c.settings)
	c.run = s.run
	return c
}

func (s *standInPlatform) register(set *settings.Set) {
	set.String(&s.listen, "listen", "127.0.0.1:8500", "address and port of the HTTP interface", true)
	set.String(&s.options.FaultToken, "fault-token", "", "bearer token of the fault endpoint; empty for none", false)
	set.Int(&s.options.MaxValue, "max-value-bytes", consul.DefaultMaxValue, minStandInValue, maxStandInValue,
		"largest value in bytes")
	set.Duration(&s.options.MinTTL, "min-session-ttl", consul.DefaultMinTTL, minStandInTTL, maxStandInTTL,
		"shortest TTL of a session")
	s.log.register(set)
}

// run serves until the process is told to stop.
func (s *standInPlatform) run(ctx context.Context, std streams) int {
	logger := s.log.logger(std.err)
	server, err := consul.Start(s.listen, s.options)
	if err != nil {
		return reportError(std, err, ExitFailure)
	}
	defer server.Close()
	logger.WithField("url", server.URL()).Info("stand-in: store is listening")
	<-ctx.Done()
	logger.Info("stand-in: store stops")
	return ExitOK
}
