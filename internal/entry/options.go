package entry

import (
	"cmp"
	"time"

	"github.com/apex/log"

	"github.com/coltsfootspur/coltsfootspur/internal/clock"
	"github.com/coltsfootspur/coltsfootspur/internal/identity"
	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/store"
	table "github.com/coltsfootspur/coltsfootspur/internal/submission"
)

// Options configures an entry.
type Options struct {
	// ID names the entry and stays the same when it is restarted.
	ID string
	// DataCentre and Region tell where the entry runs.
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
	// Peers are link addresses of other entries, used while the store cannot be reached at start.
	Peers []string
	// LinkToken authenticates processes of the system to each other.
	LinkToken string
	// LinkIdentity encrypts links and authenticates both ends by certificates; nil means plain TCP. It is set at all
	// processes of a deployment or at none.
	LinkIdentity *identity.Identity
	// ServerCertificate makes the interfaces for callers and operators HTTPS; nil means HTTP.
	ServerCertificate *identity.Certificate
	// CallerToken is required from callers that change state; empty allows every caller.
	CallerToken string
	// OperatorToken is required at the operator endpoints, and required with AdminAddress.
	OperatorToken string
	// Retention is the time for which a submission is remembered. Default 10 min.
	Retention time.Duration
	// AgentMemory is the time after which an agent that no entry has contact with is taken for dead, so that keys which it
	// may have started for a lost entry can run. It is at least Retention. Default 2 h, more than the hour for which regions
	// can lose contact with each other.
	AgentMemory time.Duration
	// TableEntries bounds the number of remembered submissions. Default 1,000,000.
	TableEntries int
	// TableBytes bounds the bytes of remembered answers. Default 64 MiB.
	TableBytes int
	// LeaseTTL is the time to live of the entry's lease in the store. Default 10 s, the least that Consul allows.
	LeaseTTL time.Duration
	// ExpulsionDelay is the time for which lease and link of another entry must be gone before it is removed.
	// Default 10 s.
	ExpulsionDelay time.Duration
	// ReadinessDelay is the time between the fall of the readiness and the end of the listener, in which the balancer
	// stops sending requests. Default 1 s; negative for none.
	ReadinessDelay time.Duration
	// StopTimeout bounds a graceful shutdown. Default 75 s, which is longer than the longest deadline of a job.
	StopTimeout time.Duration

	// Store is the platform's service. Clock, Dialer and Log default to the system's.
	Store  store.Store
	Clock  clock.Clock
	Dialer link.Dialer
	Log    log.Interface
}

// Defaults of Options.
const (
	DefaultRetention      = 10 * time.Minute
	DefaultAgentMemory    = table.DefaultAgentMemory
	DefaultTableEntries   = 1_000_000
	DefaultTableBytes     = 64 << 20
	DefaultLeaseTTL       = 10 * time.Second
	DefaultExpulsionDelay = 10 * time.Second
	DefaultReadinessDelay = time.Second
	DefaultStopTimeout    = 75 * time.Second
)

func (o Options) withDefaults() Options {
	o.Retention = cmp.Or(o.Retention, DefaultRetention)
	o.AgentMemory = cmp.Or(o.AgentMemory, DefaultAgentMemory)
	o.TableEntries = cmp.Or(o.TableEntries, DefaultTableEntries)
	o.TableBytes = cmp.Or(o.TableBytes, DefaultTableBytes)
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
