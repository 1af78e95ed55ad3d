package command

import (
	"context"
	"errors"
	"os"

	"github.com/apex/log"

	"github.com/coltsfootspur/coltsfootspur/internal/logging"
	"github.com/coltsfootspur/coltsfootspur/internal/settings"
	"github.com/coltsfootspur/coltsfootspur/platform"
)

// platformMode runs a role on the users' platform (see package platform). The settings then come from the platform's
// settings file; of the role's own settings only those of the log and flags apply.
type platformMode struct {
	set     *settings.Set
	log     *logSettings
	run     func(ctx context.Context, path string, logger log.Interface) error
	flags   []string // names of the settings that belong to the mode
	enabled bool
}

func newPlatformMode(set *settings.Set, l *logSettings, run func(context.Context, string, log.Interface) error, flags ...string) *platformMode {
	m := &platformMode{set: set, log: l, run: run, flags: flags}
	set.Bool(&m.enabled, "platform", false,
		"run on the users' platform, with the settings file that "+platform.SettingsPathVariable+" names")
	return m
}

// resolveEnabled resolves the settings platform, log-level, log-format and flags, and reports whether the mode is enabled.
func (m *platformMode) resolveEnabled(lookupEnv func(string) (string, bool)) (bool, error) {
	err := m.set.ResolveOnly(lookupEnv, append([]string{"platform", "log-level", "log-format"}, m.flags...)...)
	return m.enabled, err
}

// serve runs the role until ctx ends and returns the exit code. Logs go to the standard output and never block the role.
func (m *platformMode) serve(ctx context.Context, std streams) int {
	output := logging.NewBounded(std.out)
	defer output.Close()
	logger := logging.New(output, m.log.level, m.log.format)
	err := m.run(ctx, os.Getenv(platform.SettingsPathVariable), logger)
	switch {
	case errors.Is(err, platform.ErrSettings):
		logger.WithField("error", err.Error()).Error("settings: the settings file cannot be used")
		return ExitUsage
	case err != nil:
		logger.WithField("error", err.Error()).Error("process: stopped by an error")
		return ExitFailure
	default:
		return ExitOK
	}
}
