// Package loadgen generates open-loop load on running entries over their HTTP interface, checks every answer and computes
// the four measures of the design: slowdown, wasted messages, service at the peak of a demand swing, and head-of-line
// blocking.
//
// Open loop means that arrival times never depend on answers. Response times are measured from the planned arrival, so
// that a generator that falls behind its schedule cannot hide a slow system.
package loadgen

import (
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/clock"
	"github.com/coltsfootspur/coltsfootspur/internal/deployment"
)

// Errors of this package. ErrConfig is returned for a Config that cannot be run, ErrCounters when the counters of an
// upstream or a process cannot be read.
var (
	ErrConfig   = eris.New("invalid load configuration")
	ErrCounters = eris.New("counters cannot be read")
)

// Defaults and limits of a Config.
const (
	DefaultMaxInFlight    = 4096
	DefaultMaxConnections = 2048
	DefaultGrace          = 5 * time.Second
	maxEntries            = 1024
)

// Config configures one load run.
type Config struct {
	// Entries are the base URLs of the entries, such as http://127.0.0.1:8080. Each job is sent to a random one.
	Entries []string
	// Token is the bearer token of the callers' interface; empty for none.
	Token string
	// Service is the service under load with its request kinds and its load profile.
	Service *deployment.Service
	// Capacity is the number of seconds of work at speed 1 that all upstreams together complete in one second.
	Capacity float64
	// MinWorkFactor is the work factor of the fastest upstream that may run a task. It is used to compute the ideal response
	// time.
	MinWorkFactor float64
	// DemandScale multiplies the demand of the profile; 0 means 1.
	DemandScale float64
	// Duration is how long jobs arrive.
	Duration time.Duration
	// Grace is how long the caller waits after a job's deadline before the job counts as lost; 0 means DefaultGrace.
	Grace time.Duration
	// Seed determines arrivals, sizes, run times, resubmissions and cancellations.
	Seed uint64
	// ClientDelay is the simulated one-way delay between callers and entries, which the network under test does not have.
	// Twice this delay is added to response times and to ideal response times.
	ClientDelay time.Duration
	// RoundTrip is the sum of the round-trip times of the ideal path in the network under test. It is added to ideal
	// response times only.
	RoundTrip time.Duration
	// MaxInFlight limits the jobs in flight. An arrival above the limit is not sent and is counted in Result.NotSent.
	// 0 means DefaultMaxInFlight.
	MaxInFlight int
	// MaxConnections limits the total number of connections to all entries. 0 means DefaultMaxConnections.
	MaxConnections int
	// StartCounter reads the upstreams' counters of started tasks, WasteCounter the processes' counters of wasted messages.
	// Either may be nil.
	StartCounter StartCounter
	WasteCounter WasteCounter
	// Progress is called about once a second from a single goroutine; nil disables progress reports.
	Progress func(Progress)
	// Clock is the source of time; nil means the system clock.
	Clock clock.Clock
}

// FromDeployment returns the configuration for a service of a deployment, or for its first service if the name is empty.
// The caller sets Entries, Duration, Seed and the counters. It returns ErrConfig for an unknown service.
func FromDeployment(d *deployment.Deployment, service string) (Config, error) {
	s, err := d.Service(service)
	if err != nil {
		return Config{}, eris.Wrap(ErrConfig, err.Error())
	}
	return Config{Service: s, Capacity: d.Capacity(s.Name), MinWorkFactor: d.MinWorkFactor(s.Name)}, nil
}

// normalise validates the configuration and returns it with defaults applied. It returns ErrConfig if it is invalid.
func (c Config) normalise() (Config, error) {
	setDefault(&c.DemandScale, 1)
	setDefault(&c.Grace, DefaultGrace)
	setDefault(&c.MaxInFlight, DefaultMaxInFlight)
	setDefault(&c.MaxConnections, DefaultMaxConnections)
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	if c.Service == nil || c.Capacity <= 0 || c.MinWorkFactor <= 0 {
		return c, eris.Wrap(ErrConfig, "a service, a positive capacity and a positive minimum work factor are required")
	}
	if c.Duration <= 0 || c.DemandScale < 0 || c.Grace < 0 || c.MaxInFlight < 0 || c.MaxConnections < 0 {
		return c, eris.Wrap(ErrConfig, "duration must be positive; demand scale, grace and limits must not be negative")
	}
	if c.ClientDelay < 0 || c.RoundTrip < 0 {
		return c, eris.Wrap(ErrConfig, "client delay and round-trip time must not be negative")
	}
	if len(c.Entries) == 0 || len(c.Entries) > maxEntries {
		return c, eris.Wrapf(ErrConfig, "between 1 and %d entries are required", maxEntries)
	}
	entries := make([]string, len(c.Entries))
	for i, entry := range c.Entries {
		base, err := url.Parse(entry)
		if err != nil || base.Host == "" || (base.Scheme != "http" && base.Scheme != "https") {
			return c, eris.Wrapf(ErrConfig, "entry %q is not an http or https URL with a host", entry)
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
