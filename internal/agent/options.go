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
	// DefaultQueue is the number of tasks that wait at the agent. Each entry keeps about one task there to hide the
	// latency of a round trip, and several entries do so at once. Fewer than 4 places cost more than 0.05 refused
	// starts per task.
	DefaultQueue     = 8
	MaxQueue         = 1024
	DefaultRetention = 10 * time.Minute
	MinRetention     = time.Second
	MaxRetention     = 24 * time.Hour
	// DefaultRecords holds the records of 300 starts/s for the default retention and the longest deadline.
	DefaultRecords     = 200_000
	MaxRecords         = 10_000_000
	DefaultResultBytes = 64 << 20
	DefaultStopTimeout = 75 * time.Second
	MaxStopTimeout     = 10 * time.Minute
)

// ErrOptions is returned by New when an option is not allowed.
var ErrOptions = eris.New("invalid agent option")

// Options configures an agent. Fields without a remark are required.
type Options struct {
	// ID names the upstream; it is unique in the deployment and stays the same when the process is replaced.
	ID         string
	DataCentre string
	// Region may be empty in a deployment with one region.
	Region string
	// Services are the services whose tasks the upstream accepts.
	Services []string
	// Entries are host:port addresses of some entries; the others are learned from the list of entries.
	Entries []string
	// Upstream is the http URL of the upstream.
	Upstream *url.URL
	// LinkToken authenticates the agent to the entries.
	LinkToken string
	// Slots is the ceiling of tasks that run at once; 0 means DefaultSlots. Service documents can lower it.
	Slots int
	// Connections is the ceiling of connections to the upstream; 0 means DefaultConnections.
	Connections int
	// Queue is the number of tasks that wait for a slot; 0 means DefaultQueue.
	Queue int
	// MemoryMB (in MiB) and Accelerators are what the worker offers; 0 means that it offers none.
	MemoryMB     uint32
	Accelerators uint16
	// Retention is how long start records are kept; 0 means DefaultRetention. It must be the same for all processes.
	Retention time.Duration
	// Records bounds the number of start records; 0 means DefaultRecords. A full table refuses starts.
	Records int
	// ResultBytes bounds the bytes of recorded results; 0 means DefaultResultBytes.
	ResultBytes int
	// LinkIdentity encrypts links and authenticates both ends by certificates; nil means plain TCP. It is set at all
	// processes of a deployment or at none.
	LinkIdentity *identity.Identity
	// ServerCertificate makes the operator endpoints HTTPS; nil means HTTP.
	ServerCertificate *identity.Certificate
	// StopTimeout bounds the graceful shutdown; 0 means DefaultStopTimeout.
	StopTimeout time.Duration
	// AdminAddress is the host:port of the operator endpoints; when it is empty they are off.
	AdminAddress string
	// AdminToken is the bearer token of the operator endpoints; required with AdminAddress.
	AdminToken string

	// Log, Clock, Dialer and Caller are replaced in tests; nil means the default logger, the system clock, WebSocket
	// and HTTP to the upstream URL.
	Log    log.Interface
	Clock  clock.Clock
	Dialer link.Dialer
	Caller Upstream
}

// withDefaults returns the options with defaults filled in. It returns ErrOptions with the name of the option.
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
		{o.Caller != nil || validUpstream(o.Upstream), "Upstream is not an http URL with a host"},
		{o.Slots >= 1 && o.Slots <= MaxSlots, "Slots is out of range"},
		{o.Connections >= 1 && o.Connections <= MaxConnections, "Connections is out of range"},
		{o.Queue >= 0 && o.Queue <= MaxQueue, "Queue is out of range"},
		{o.Retention >= MinRetention && o.Retention <= MaxRetention, "Retention is out of range"},
		{o.Records >= 1 && o.Records <= MaxRecords, "Records is out of range"},
		{o.ResultBytes > 0, "ResultBytes is out of range"},
		{o.StopTimeout > 0 && o.StopTimeout <= MaxStopTimeout, "StopTimeout is out of range"},
		{o.AdminAddress == "" || o.AdminToken != "", "AdminToken is not set"},
	}
	for _, check := range checks {
		if !check.ok {
			return o, eris.Wrap(ErrOptions, check.message)
		}
	}
	if o.Caller == nil {
		o.Caller = NewHTTPUpstream(o.Upstream, o.Connections)
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

func validUpstream(u *url.URL) bool {
	return u != nil && u.Scheme == "http" && u.Host != ""
}
