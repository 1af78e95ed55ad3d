package command

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/entry"
	"github.com/coltsfootspur/coltsfootspur/internal/settings"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Bounds of the settings of an entry.
const (
	minEntryRetention = 2 * wire.MaxDeadline
	maxEntryRetention = 24 * time.Hour
	maxTableEntries   = 50_000_000
	maxTableMB        = 1 << 16
	minLeaseTTL       = 2 * time.Second
	maxLeaseTTL       = 10 * time.Minute
	maxDelay          = 10 * time.Minute
)

// entrySettings are the settings of the entry role as they come from the command line.
type entrySettings struct {
	log     logSettings
	store   storeSettings
	options entry.Options
	tableMB int
}

func (s *entrySettings) register(set *settings.Set) {
	o := &s.options
	set.String(&o.ID, "id", "", "id of the entry, unique in the deployment", true)
	set.String(&o.DataCentre, "data-centre", "", "data centre of this host", true)
	set.String(&o.Region, "region", "", "region of this host", false)
	set.String(&o.CallerAddress, "caller-address", "127.0.0.1:8080", "host:port for callers", true)
	set.String(&o.LinkAddress, "link-address", "127.0.0.1:8081", "host:port for agents and other entries", true)
	set.String(&o.AdvertiseAddress, "advertise-address", "",
		"host:port under which others reach the link address; empty for the link address itself", false)
	set.String(&o.AdminAddress, "admin-address", "", "host:port of the operator endpoints; empty turns them off", false)
	set.List(&o.Peers, "peers", "", "link addresses of other entries, used while the store is out at the start")
	set.String(&o.LinkToken, "link-token", "", "token by which processes of the system authenticate to each other", true)
	set.String(&o.CallerToken, "caller-token", "", "bearer token of callers; empty lets every caller in", false)
	set.String(&o.OperatorToken, "admin-token", "", "bearer token of the operator endpoints", false)
	set.Duration(&o.Retention, "retention", entry.DefaultRetention, minEntryRetention, maxEntryRetention,
		"how long submissions are remembered; the same for all processes")
	set.Int(&o.TableEntries, "table-entries", entry.DefaultTableEntries, 1000, maxTableEntries, "most submissions that are remembered")
	set.Int(&s.tableMB, "table-mb", entry.DefaultTableBytes>>20, 1, maxTableMB, "memory in MiB for remembered answers")
	set.Duration(&o.LeaseTTL, "lease-ttl", entry.DefaultLeaseTTL, minLeaseTTL, maxLeaseTTL, "time to live of the lease in the store")
	set.Duration(&o.ExpulsionDelay, "expulsion-delay", entry.DefaultExpulsionDelay, time.Second, maxDelay,
		"how long lease and link of another entry are gone before it is removed")
	set.Duration(&o.ReadinessDelay, "readiness-delay", entry.DefaultReadinessDelay, time.Millisecond, maxDelay,
		"time between the fall of the readiness and the end of the listener")
	set.Duration(&o.StopTimeout, "stop-timeout", defaultStopTimeout, minStopTimeout, maxStopTimeout,
		"longest wait of a graceful shutdown")
	s.store.register(set)
	s.log.register(set)
}

func entryCommand() *subcommand {
	c := newSubcommand("entry", "run an entry, which takes jobs from callers")
	s := &entrySettings{}
	s.register(c.settings)
	c.run = s.run
	return c
}

// run serves until the process is told to stop. An entry that was removed from the list of entries, for example because
// the process was paused past its lease, begins again under a new incarnation.
func (s *entrySettings) run(ctx context.Context, std streams) int {
	logger := s.log.logger(std.err)
	s.options.Log = logger
	s.options.TableBytes = s.tableMB << 20
	store, err := s.store.open()
	if err != nil {
		return usageError(std, err)
	}
	s.options.Store = store
	for {
		e, err := entry.New(s.options)
		if err != nil {
			fmt.Fprintf(std.err, "coltsfootspur: %s\n", eris.ToString(err, false))
			return ExitFailure
		}
		err = e.Run(ctx)
		switch {
		case errors.Is(err, entry.ErrExpelled) && ctx.Err() == nil:
			logger.Warn("entry: starting again under a new incarnation")
		case err != nil && !errors.Is(err, entry.ErrExpelled):
			logFailure(logger, err)
			return ExitFailure
		default:
			return ExitOK
		}
	}
}

func logFailure(logger log.Interface, err error) {
	logger.WithField("cause", eris.ToString(err, false)).Error("entry: stopped by a fault")
}
