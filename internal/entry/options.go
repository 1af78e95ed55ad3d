package entry

import (
	"cmp"
	"time"

	"github.com/apex/log"

	"github.com/coltsfootspur/coltsfootspur/internal/clock"
	"github.com/coltsfootspur/coltsfootspur/internal/identity"
	"github.com/coltsfootspur/coltsfootspur/internal/intake"
	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/store"
	table "github.com/coltsfootspur/coltsfootspur/internal/submission"
)

// Options configures an entry.
type Options struct {
	// ID identifies the entry and stays the same across restarts.
	ID string
	// DataCentre and Region are the location of the entry.
	DataCentre string
	Region     string
	// CallerAddress, LinkAddress and AdminAddress are the host:port on which the entry listens for callers, for other
	// processes of the system and for operators.
	CallerAddress string
	LinkAddress   string
	AdminAddress  string
	// AdvertiseAddress is the host:port under which other processes reach LinkAddress. Empty means the address that
	// the listener got.
	AdvertiseAddress string
	// Peers are link addresses of other entries, dialled while the store cannot be reached at start.
	Peers []string
	// LinkToken authenticates the processes of the deployment to each other.
	LinkToken string
	// LinkIdentity encrypts links and authenticates both ends by certificates; nil means plain TCP. Either all processes of
	// a deployment have one or none has.
	LinkIdentity *identity.Identity
	// ServerCertificate enables HTTPS on the interfaces for callers and operators; nil means HTTP.
	ServerCertificate *identity.Certificate
	// CallerToken is a bearer token that callers can use for every service, in addition to the tokens that the document of
	// the service lists. A service without any token is open to every caller.
	CallerToken string
	// OperatorToken is the bearer token required at the operator endpoints. It must be set if AdminAddress is.
	OperatorToken string
	// Retention is the time from the completion of a job for which its submission is kept in the table. Default 10 min.
	Retention time.Duration
	// SilentAgentTimeout is the time without a connection to any entry after which an agent is considered dead, so that keys
	// which it may have started for a lost entry can run. It is at least Retention. Default 2 h, which is more than the hour
	// for which regions can lose contact with each other.
	SilentAgentTimeout time.Duration
	// MaxSubmissions is the maximum number of submissions in the table, running and finished ones. Default 1,000,000.
	MaxSubmissions int
	// MaxAnswerBytes is the maximum size of the retained answers in bytes. Default 64 MiB.
	MaxAnswerBytes int
	// LeaseTTL is the time to live of the entry's lease in the store. Default 10 s, the minimum that Consul allows.
	LeaseTTL time.Duration
	// ExpulsionDelay is the time for which both the lease of another entry and the link to it must be gone before that entry
	// is removed. Default 10 s.
	ExpulsionDelay time.Duration
	// Resources are the limits of the process, from which the limits for clients are derived.
	Resources intake.Resources
	// ReadinessDelay is the time between the change of the readiness to false and the close of the listener, in which the
	// load balancer stops sending requests. Default 1 s; negative for none.
	ReadinessDelay time.Duration
	// StopTimeout bounds the graceful shutdown. Default 75 s, which is longer than the longest deadline of a job.
	StopTimeout time.Duration

	// Store holds the list of entries, their leases and the documents. It is required. Clock, Dialer and Log default to the
	// system's.
	Store  store.Store
	Clock  clock.Clock
	Dialer link.Dialer
	Log    log.Interface
}

// Defaults of Options.
const (
	DefaultRetention          = 10 * time.Minute
	DefaultSilentAgentTimeout = table.DefaultSilentAgentTimeout
	DefaultMaxSubmissions     = 1_000_000
	DefaultMaxAnswerBytes     = 64 << 20
	DefaultLeaseTTL           = 10 * time.Second
	DefaultExpulsionDelay     = 10 * time.Second
	DefaultReadinessDelay     = time.Second
	DefaultStopTimeout        = 75 * time.Second
)

func (o Options) withDefaults() Options {
	o.Retention = cmp.Or(o.Retention, DefaultRetention)
	o.SilentAgentTimeout = cmp.Or(o.SilentAgentTimeout, DefaultSilentAgentTimeout)
	o.MaxSubmissions = cmp.Or(o.MaxSubmissions, DefaultMaxSubmissions)
	o.MaxAnswerBytes = cmp.Or(o.MaxAnswerBytes, DefaultMaxAnswerBytes)
	o.LeaseTTL = cmp.Or(o.LeaseTTL, DefaultLeaseTTL)
	o.ExpulsionDelay = cmp.Or(o.ExpulsionDelay, DefaultExpulsionDelay)
	o.ReadinessDelay = cmp.Or(o.ReadinessDelay, DefaultReadinessDelay)
	o.StopTimeout = cmp.Or(o.StopTimeout, DefaultStopTimeout)
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if o.Dialer == nil {
		o.Dialer = link.WebSocketDialer{Token: o.LinkToken, TLS: o.LinkIdentity.ClientConfig()}
	}
	if o.Log == nil {
		o.Log = log.Log
	}
	return o
}
