package agent

import (
	"cmp"
	"net/url"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/clock"
	"github.com/coltsfootspur/coltsfootspur/internal/identity"
	"github.com/coltsfootspur/coltsfootspur/internal/link"
)

// Defaults and bounds of the options.
const (
	DefaultSlots       = 8
	MaxSlots           = 4096
	DefaultConnections = 64
	MaxConnections     = 65_535
	// DefaultQueue is the default of Options.Queue. Each of several entries keeps about one task queued at the agent to
	// hide the latency of a round trip. With fewer than 4 places, more than 0.05 starts per task are refused.
	DefaultQueue     = 8
	MaxQueue         = 1024
	DefaultRetention = 10 * time.Minute
	MinRetention     = time.Second
	MaxRetention     = 24 * time.Hour
	// DefaultRecords covers 300 starts/s for the default retention and the longest deadline.
	DefaultRecords     = 200_000
	MaxRecords         = 10_000_000
	DefaultResultBytes = 64 << 20
	DefaultStopTimeout = 75 * time.Second
	MaxStopTimeout     = 10 * time.Minute
)

// ErrOptions is returned by New when an option is invalid.
var ErrOptions = eris.New("invalid agent option")

// Options configures an agent. A field is required unless its comment states a default or that it may be empty.
type Options struct {
	// ID identifies the upstream. It is unique in the deployment and stays the same when the process is replaced.
	ID         string
	DataCentre string
	// Region may be empty in a deployment with one region.
	Region string
	// Services are the services whose tasks the upstream accepts.
	Services []string
	// Entries are the host:port addresses of at least one entry. The agent gets the other addresses from the list of
	// entries.
	Entries []string
	// UpstreamURL is the http URL of the upstream.
	UpstreamURL *url.URL
	// LinkToken authenticates the agent to the entries.
	LinkToken string
	// Slots is the maximum number of tasks that run at once; 0 means DefaultSlots. Service documents can lower it.
	Slots int
	// Connections is the maximum number of connections to the upstream; 0 means DefaultConnections.
	Connections int
	// Queue is the maximum number of tasks that wait for a slot; 0 means DefaultQueue.
	Queue int
	// MemoryMB (in MiB) and Accelerators are the resources that the worker offers to tasks; 0 means none.
	MemoryMB     uint32
	Accelerators uint16
	// Retention is how long start records are kept; 0 means DefaultRetention. It must be the same at all processes of a
	// deployment.
	Retention time.Duration
	// Records is the maximum number of start records; 0 means DefaultRecords. At the maximum, starts are refused.
	Records int
	// ResultBytes is the maximum size of the recorded results in bytes; 0 means DefaultResultBytes.
	ResultBytes int
	// LinkIdentity encrypts the links and authenticates both ends by certificates; nil means plain TCP. It must be set at
	// all processes of a deployment or at none.
	LinkIdentity *identity.Identity
	// ServerCertificate makes the operator endpoints HTTPS; nil means HTTP.
	ServerCertificate *identity.Certificate
	// StopTimeout bounds the graceful shutdown; 0 means DefaultStopTimeout.
	StopTimeout time.Duration
	// AdminAddress is the host:port of the operator endpoints; if it is empty, they are off.
	AdminAddress string
	// AdminToken is the bearer token of the operator endpoints. It may be empty if AdminAddress is.
	AdminToken string

	// Log, Clock, Dialer and UpstreamClient are replaced in tests. Their defaults are the default logger, the system
	// clock, a WebSocket dialer and an HTTP client for the upstream URL.
	Log            log.Interface
	Clock          clock.Clock
	Dialer         link.Dialer
	UpstreamClient UpstreamClient
}

// withDefaults returns the options with their defaults. It returns ErrOptions with the name of the first invalid option.
func (o Options) withDefaults() (Options, error) {
	o.setDefaults()
	checks := []struct {
		ok      bool
		message string
	}{
		{o.ID != "", "ID is not set"},
		{o.DataCentre != "", "DataCentre is not set"},
		{len(o.Services) > 0, "Services is empty"},
		{len(o.Entries) > 0, "Entries is empty"},
		{o.LinkToken != "", "LinkToken is not set"},
		{o.UpstreamClient != nil || isValidUpstreamURL(o.UpstreamURL), "UpstreamURL is not an http URL with a host"},
		{o.Slots >= 1 && o.Slots <= MaxSlots, "Slots is not between 1 and MaxSlots"},
		{o.Connections >= 1 && o.Connections <= MaxConnections, "Connections is not between 1 and MaxConnections"},
		{o.Queue >= 0 && o.Queue <= MaxQueue, "Queue is not between 0 and MaxQueue"},
		{o.Retention >= MinRetention && o.Retention <= MaxRetention, "Retention is not between MinRetention and MaxRetention"},
		{o.Records >= 1 && o.Records <= MaxRecords, "Records is not between 1 and MaxRecords"},
		{o.ResultBytes > 0, "ResultBytes is not positive"},
		{o.StopTimeout > 0 && o.StopTimeout <= MaxStopTimeout, "StopTimeout is not positive or exceeds MaxStopTimeout"},
		{o.AdminAddress == "" || o.AdminToken != "", "AdminToken is not set, but AdminAddress is"},
	}
	for _, check := range checks {
		if !check.ok {
			return o, eris.Wrap(ErrOptions, check.message)
		}
	}
	if o.UpstreamClient == nil {
		o.UpstreamClient = NewHTTPUpstreamClient(o.UpstreamURL, o.Connections)
	}
	return o, nil
}

func (o *Options) setDefaults() {
	o.Slots = cmp.Or(o.Slots, DefaultSlots)
	o.Connections = cmp.Or(o.Connections, DefaultConnections)
	o.Queue = cmp.Or(o.Queue, DefaultQueue)
	o.Retention = cmp.Or(o.Retention, DefaultRetention)
	o.Records = cmp.Or(o.Records, DefaultRecords)
	o.ResultBytes = cmp.Or(o.ResultBytes, DefaultResultBytes)
	o.StopTimeout = cmp.Or(o.StopTimeout, DefaultStopTimeout)
	if o.Log == nil {
		o.Log = log.Log
	}
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if o.Dialer == nil {
		o.Dialer = link.WebSocketDialer{Token: o.LinkToken, TLS: o.LinkIdentity.ClientConfig()}
	}
}

func isValidUpstreamURL(u *url.URL) bool {
	return u != nil && u.Scheme == "http" && u.Host != ""
}
