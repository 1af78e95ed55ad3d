// Package document holds the service documents, by which teams drive the system.
//
// A document is YAML with a strict schema: Parse turns it into a Service and reports every error at once. The store
// keeps it in a Record together with its history; Editor changes records by compare-and-swap, and Registry is what a
// process believes about the newest revision of every service.
package document

import (
	"time"
)

// Service is a parsed and checked document. The table in fields.go gives unit, default and limits of each field.
type Service struct {
	// Name is the service that the document belongs to.
	Name string
	// Team owns the document.
	Team  string
	Kinds []Kind
	// CallerTokens are the SHA-256 digests, in hexadecimal, of the bearer tokens of the callers. Empty leaves the access to
	// the settings of the entries.
	CallerTokens []string
	// Upstreams restricts which upstreams may serve the service.
	Upstreams Upstreams
	// Slots is the number of tasks at a time per upstream; 0 means what its agent announces.
	Slots int
	// Connections is the largest number of connections that an agent opens to its upstream.
	Connections int
	// HomeRegion restricts the home entries of keys to one region; empty means every region.
	HomeRegion string
	// ShortSlots is the number of slots per upstream that long tasks may not hold; nil leaves it to ShortSlotsOf.
	ShortSlots *int
	// Deadline is the time allowed for a job whose caller sets none and whose kind has none.
	Deadline time.Duration
	// MaxBody is the largest body of one task in bytes.
	MaxBody int
	// Quota, Retries, Ejection and Hedging are optional guards; nil means off.
	Quota    *Quota
	Retries  *Retries
	Ejection *Ejection
	Hedging  *Hedging
}

// Kind is one kind of request.
type Kind struct {
	Name string
	// Urgent requests are served before all others.
	Urgent bool
	// Idempotent states that running a request twice does no harm.
	Idempotent bool
	// Long marks requests that may hold only the slots that are not kept for short ones.
	Long bool
	// Deadline is the time allowed for a job whose caller sets none. Parse fills in the service's deadline.
	Deadline time.Duration
	Method   string
	Path     string
	Requires Requires
}

// Requires is what a worker has to offer to run a request.
type Requires struct {
	MemoryMB     int
	Accelerators int
}

// Upstreams lists the allowed upstreams. An upstream is allowed if its id or its data centre is listed, or if both lists
// are empty.
type Upstreams struct {
	IDs         []string
	DataCentres []string
}

// Quota limits the work of the callers of a team.
type Quota struct {
	// Rate is the sustained rate in tasks per second.
	Rate float64
	// Burst is the number of tasks that may start at once above the rate.
	Burst int
	// Running is the largest number of tasks in progress; 0 means no limit.
	Running int
}

// Retries allows a second start of an idempotent task whose attempt is over.
type Retries struct {
	// Budget is the largest share of retries among first attempts.
	Budget float64
}

// Ejection takes upstreams out of use whose error rate is far above that of their peers.
type Ejection struct {
	// MaxShare is the largest share of upstreams that may be ejected at a time.
	MaxShare float64
	// Margin is how far the error rate has to be above the median of the peers.
	Margin float64
	// ProbeAfter is the time until an ejected upstream gets work again as a probe.
	ProbeAfter time.Duration
}

// Hedging starts a second copy of an idempotent task that takes unusually long.
type Hedging struct {
	// Quantile of the learned times after which a copy is started.
	Quantile float64
	// Budget is the largest share of copies among first attempts.
	Budget float64
}

// Kind returns the kind with the given name.
func (s *Service) Kind(name string) (Kind, bool) {
	for _, k := range s.Kinds {
		if k.Name == name {
			return k, true
		}
	}
	return Kind{}, false
}

// Allows reports whether the upstream with this id in this data centre may serve the service.
func (s *Service) Allows(id, dataCentre string) bool {
	u := s.Upstreams
	if len(u.IDs) == 0 && len(u.DataCentres) == 0 {
		return true
	}
	for _, allowed := range u.IDs {
		if allowed == id {
			return true
		}
	}
	for _, allowed := range u.DataCentres {
		if allowed == dataCentre {
			return true
		}
	}
	return false
}

// SlotsOf returns the number of tasks at a time on an upstream whose agent announces the given number.
func (s *Service) SlotsOf(announced int) int {
	if s.Slots == 0 {
		return announced
	}
	return min(s.Slots, announced)
}

// shortSlotsDivisor makes a quarter of the slots the default for short work.
const shortSlotsDivisor = 4

// ShortSlotsOf returns how many of the slots of an upstream are kept for short work. At least one slot is left for
// long work.
func (s *Service) ShortSlotsOf(slots int) int {
	if slots <= 1 {
		return 0
	}
	if s.ShortSlots != nil {
		return min(*s.ShortSlots, slots-1)
	}
	return max(slots/shortSlotsDivisor, 1)
}
