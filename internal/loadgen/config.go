// Package loadgen puts open-loop load on running entries over their HTTP interface, checks every answer and computes the
// four measures of the design: slowdown, wasted messages, service at the crest of a demand swing, and head-of-line
// blocking.
//
// Open loop means that arrival times never depend on answers. Response times count from the planned arrival, so that a
// late generator cannot hide a slow system.
package loadgen

import (
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/clock"
	"github.com/coltsfootspur/coltsfootspur/internal/deployment"
)

// Errors of this package.
var (
	ErrConfig   = eris.New("invalid load")
	ErrCounters = eris.New("counters cannot be read")
)

// Defaults and bounds of a Config.
const (
	DefaultMaxInFlight    = 4096
	DefaultMaxConnections = 2048
	DefaultGrace          = 5 * time.Second
	maxEntries            = 1024
)

// Config describes one run.
type Config struct {
	// Entries are the base URLs of the entries, such as http://127.0.0.1:8080. Jobs are spread over them at random.
	Entries []string
	// Token is the bearer token of the callers' interface; empty for none.
	Token string
	// Service is the service under load with its kinds and its load profile.
	Service *deployment.Service
	// Capacity is the seconds of work at speed 1 that the upstreams do in a second.
	Capacity float64
	// FastestFactor is the work factor of the fastest upstream allowed; it enters the ideal response time.
	FastestFactor float64
	// DemandScale multiplies the demand of the profile; 0 means 1.
	DemandScale float64
	// Duration is the time in which jobs arrive.
	Duration time.Duration
	// Grace is how long after its deadline a job waits for an answer before it counts as lost; 0 means DefaultGrace.
	Grace time.Duration
	// Seed determines arrivals, sizes, run times, resubmissions and cancellations.
	Seed uint64
	// ClientDelay is the one-way delay between callers and entries that the network under test does not have itself. It
	// is added, twice, to response times and to ideals.
	ClientDelay time.Duration
	// RoundTrip is the sum of the round trips of the ideal path in the network under test; it enters ideals only.
	RoundTrip time.Duration
	// MaxInFlight bounds the jobs in flight; an arrival past it is not sent and is counted. 0 means DefaultMaxInFlight.
	MaxInFlight int
	// MaxConnections bounds the connections to all entries together. 0 means DefaultMaxConnections.
	MaxConnections int
	// Starts reads the counters of the upstreams, Waste those of the processes. Either may be nil.
	Starts StartCounter
	Waste  WasteCounter
	// Progress is called about once a second by one goroutine; nil means that nobody wants to know.
	Progress func(Progress)
	// Clock is the time; nil means the time of the system.
	Clock clock.Clock
}

// FromDeployment returns the configuration for a service of a deployment; the first service for an empty name. The caller
// sets Entries, Duration, Seed and the counters.
func FromDeployment(d *deployment.Deployment, service string) (Config, error) {
	s, err := d.Service(service)
	if err != nil {
		return Config{}, eris.Wrap(ErrConfig, err.Error())
	}
	return Config{Service: s, Capacity: d.Capacity(s.Name), FastestFactor: d.FastestFactor(s.Name)}, nil
}

// normalised returns the configuration with defaults. It returns ErrConfig.
func (c Config) normalised() (Config, error) {
	setDefault(&c.DemandScale, 1)
	setDefault(&c.Grace, DefaultGrace)
	setDefault(&c.MaxInFlight, DefaultMaxInFlight)
	setDefault(&c.MaxConnections, DefaultMaxConnections)
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	if c.Service == nil || c.Capacity <= 0 || c.FastestFactor <= 0 {
		return c, eris.Wrap(ErrConfig, "service, capacity and fastest factor are required")
	}
	if c.Duration <= 0 || c.DemandScale < 0 || c.Grace < 0 || c.MaxInFlight < 0 || c.MaxConnections < 0 {
		return c, eris.Wrap(ErrConfig, "duration must be positive, and no bound may be negative")
	}
	if c.ClientDelay < 0 || c.RoundTrip < 0 {
		return c, eris.Wrap(ErrConfig, "delays must not be negative")
	}
	if len(c.Entries) == 0 || len(c.Entries) > maxEntries {
		return c, eris.Wrapf(ErrConfig, "1 to %d entries are required", maxEntries)
	}
	entries := make([]string, len(c.Entries))
	for i, entry := range c.Entries {
		base, err := url.Parse(entry)
		if err != nil || base.Host == "" || (base.Scheme != "http" && base.Scheme != "https") {
			return c, eris.Wrapf(ErrConfig, "entry %q is not an http URL", entry)
		}
		entries[i] = strings.TrimSuffix(entry, "/")
	}
	c.Entries = entries
	return c, nil
}

func setDefault[T comparable](target *T, value T) {
	var zero T
	if *target == zero {
		*target = value
	}
}
