package command

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/entry"
	"github.com/coltsfootspur/coltsfootspur/internal/settings"
)

// Bounds of the settings of an entry.
const (
	minSubmissionLimit = 1000
	maxSubmissionLimit = 50_000_000
	maxAnswerLimitMB   = 1 << 16
	maxMemoryMB        = 1 << 20
	maxDescriptors     = 1 << 20
	minLeaseTTL        = 2 * time.Second
	maxLeaseTTL        = 10 * time.Minute
	maxDelay           = 10 * time.Minute
	// consulMinLeaseTTL is the shortest time to live of a lease that Consul accepts according to its published API.
	consulMinLeaseTTL = 10 * time.Second
	// renewalsPerLeaseTTL is the number of lease renewals within one time to live.
	renewalsPerLeaseTTL = 3
)

// entrySettings holds the settings of the entry role as given by flags and environment variables.
type entrySettings struct {
	set         *settings.Set
	log         logSettings
	store       storeSettings
	tls         tlsSettings
	options     entry.Options
	maxAnswerMB int
	memoryMB    int
}

func (s *entrySettings) register() {
	set, o := s.set, &s.options
	set.Name(&o.ID, "id", "id of the entry, unique in the deployment and the same after a restart", entryIDPattern, entryIDRule)
	sharedSettings{
		dataCentre: &o.DataCentre, region: &o.Region, linkToken: &o.LinkToken, adminAddress: &o.AdminAddress,
		adminToken: &o.OperatorToken, retention: &o.Retention, stopTimeout: &o.StopTimeout,
	}.register(set, entry.DefaultRetention)
	s.registerAddresses()
	set.Int(&o.MaxSubmissions, "table-entries", entry.DefaultMaxSubmissions, minSubmissionLimit, maxSubmissionLimit,
		"most submissions that are remembered")
	set.Int(&s.maxAnswerMB, "table-mb", entry.DefaultMaxAnswerBytes>>20, 1, maxAnswerLimitMB,
		"memory in MiB for remembered answers")
	set.Int(&s.memoryMB, "memory-mb", 0, 0, maxMemoryMB,
		"memory of the process in MiB, from which the limits for clients are derived; 0 for half of the memory of the host")
	set.Int(&o.Resources.Descriptors, "max-descriptors", 0, 0, maxDescriptors,
		"file descriptors of the process, from which the limits for clients are derived; 0 for the limit of the system")
	set.Duration(&o.SilentAgentTimeout, "agent-memory", entry.DefaultSilentAgentTimeout, minRetention, maxRetention,
		"how long a silent agent keeps keys of a lost entry from being run; the same for all entries, at least the retention")
	set.Duration(&o.LeaseTTL, "lease-ttl", entry.DefaultLeaseTTL, minLeaseTTL, maxLeaseTTL, "time to live of the lease in the store")
	set.Duration(&o.ExpulsionDelay, "expulsion-delay", entry.DefaultExpulsionDelay, time.Second, maxDelay,
		"how long lease and link of another entry are gone before it is removed")
	set.Duration(&o.ReadinessDelay, "readiness-delay", entry.DefaultReadinessDelay, time.Millisecond, maxDelay,
		"time between the fall of the readiness and the end of the listener")
	s.tls.register(set, "callers and operators")
	s.store.register(set)
	s.log.register(set)
	s.addCrossSettingRules()
}

func (s *entrySettings) registerAddresses() {
	set, o := s.set, &s.options
	set.ListenAddress(&o.CallerAddress, "caller-address", "127.0.0.1:8080", "host:port for callers", true)
	set.String(&o.CallerToken, "caller-token", "", "bearer token of callers; empty lets every caller in", false)
	set.ListenAddress(&o.LinkAddress, "link-address", "127.0.0.1:8081", "host:port for agents and other entries", true)
	set.Address(&o.AdvertiseAddress, "advertise-address", "",
		"host:port under which others reach the link address; empty for the link address itself", false)
	set.Addresses(&o.Peers, "peers", "link addresses of other entries, used while the store is out at the start", false)
}

// addCrossSettingRules adds the rules that span several settings of an entry.
func (s *entrySettings) addCrossSettingRules() {
	set, o := s.set, &s.options
	for _, pair := range [][2]string{
		{"caller-address", "link-address"}, {"caller-address", "admin-address"}, {"link-address", "admin-address"},
	} {
		set.AddRule(settings.Rule{
			Names:      pair[:],
			IsViolated: func() bool { return s.sameAddress(pair[0], pair[1]) },
			Problem:    "are the same address; each interface needs one of its own",
		})
	}
	set.AddRule(settings.Rule{
		Names:      []string{"link-address", "advertise-address"},
		IsViolated: func() bool { return settings.IsUnspecified(o.LinkAddress) && o.AdvertiseAddress == "" },
		Problem:    "the link address has no specific host, so other processes do not know how to reach it; set advertise-address",
	})
	set.AddRule(settings.Rule{
		Names:      []string{"readiness-delay", "stop-timeout"},
		IsViolated: func() bool { return o.ReadinessDelay >= o.StopTimeout },
		Problem:    "the delay leaves no time for the shutdown; allowed: readiness-delay below stop-timeout",
	})
	set.AddRule(settings.Rule{
		Names:      []string{"lease-ttl"},
		IsViolated: func() bool { return o.LeaseTTL < consulMinLeaseTTL },
		Problem:    "Consul refuses leases below " + consulMinLeaseTTL.String(),
		WarnOnly:   true,
	})
	set.AddRule(settings.Rule{
		Names:      []string{"store-timeout", "lease-ttl"},
		IsViolated: func() bool { return s.store.options.CallTimeout > o.LeaseTTL/renewalsPerLeaseTTL },
		Problem:    "one unanswered call can cause the loss of the lease; store-timeout should be at most a third of lease-ttl",
		WarnOnly:   true,
	})
	set.AddRule(settings.Rule{
		Names:      []string{"caller-address", "caller-token"},
		IsViolated: func() bool { return o.CallerToken == "" && !settings.IsLoopback(o.CallerAddress) },
		Problem:    "every host that reaches the caller address can submit jobs; set caller-token unless each is trusted",
		WarnOnly:   true,
	})
}

// sameAddress reports whether two address settings are the same. Port 0 means any free port and is never the same.
func (s *entrySettings) sameAddress(a, b string) bool {
	address := map[string]string{
		"caller-address": s.options.CallerAddress, "link-address": s.options.LinkAddress, "admin-address": s.options.AdminAddress,
	}
	return address[a] == address[b] && !settings.HasAnyPort(address[a])
}
