package command

import (
	"context"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/settings"
	"github.com/coltsfootspur/coltsfootspur/internal/standin/consul"
)

// Bounds of the settings of the stand-in store.
const (
	minStandInValueBytes = 1 << 10
	maxStandInValueBytes = 16 << 20
	minStandInTTL        = 100 * time.Millisecond
	maxStandInTTL        = time.Hour
)

// standInPlatformSettings holds the settings of the subcommand stand-in platform.
type standInPlatformSettings struct {
	listenAddress string
	options       consul.Options
	log           logSettings
}

func newStandInPlatform() *subcommand {
	c := newSubcommand("platform", "run an in-memory stand-in for the platform's key-value service")
	s := &standInPlatformSettings{}
	s.register(c.settings)
	c.run = s.run
	return c
}

func (s *standInPlatformSettings) register(set *settings.Set) {
	set.String(&s.listenAddress, "listen", "127.0.0.1:8500", "address and port of the HTTP interface", true)
	set.String(&s.options.FaultToken, "fault-token", "", "bearer token of the fault endpoint; empty for none", false)
	set.Int(&s.options.MaxValue, "max-value-bytes", consul.DefaultMaxValue, minStandInValueBytes, maxStandInValueBytes,
		"largest value in bytes")
	set.Duration(&s.options.MinTTL, "min-session-ttl", consul.DefaultMinTTL, minStandInTTL, maxStandInTTL,
		"shortest TTL of a session")
	s.log.register(set)
}

// run serves until ctx ends and returns the exit code.
func (s *standInPlatformSettings) run(ctx context.Context, std streams) int {
	logger := s.log.logger(std.err)
	server, err := consul.Start(s.listenAddress, s.options)
	if err != nil {
		return reportError(std, err, ExitFailure)
	}
	defer server.Close()
	logger.WithField("url", server.URL()).Info("stand-in: store is listening")
	<-ctx.Done()
	logger.Info("stand-in: store is stopping")
	return ExitOK
}
