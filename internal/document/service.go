// Package document parses, stores and distributes service documents, in which teams configure their services.
//
// A document is YAML with a strict schema: Parse turns it into a Service and reports all errors together. The store keeps
// each document with its history as a Record. Editor changes records by compare-and-swap. Registry is the in-memory view
// that a process has of the newest revision of every service.
package document

import (
	"time"
)

// Service is a parsed and validated document. The schema in fields.go gives unit, default and limits of each field.
type Service struct {
	// Name is the name of the service; callers use it in URLs.
	Name string
	// Team is the team that owns the document.
	Team  string
	Kinds []Kind
	// CallerTokens are the hexadecimal SHA-256 digests of the bearer tokens that callers may use. If it is empty, the
	// settings of the entries decide about access.
	CallerTokens []string
	// Upstreams restricts which upstreams may serve the service.
	Upstreams Upstreams
	// Slots limits the concurrent tasks per upstream; 0 means the number that its agent announces.
	Slots int
	// Connections is the largest number of connections that an agent opens to its upstream.
	Connections int
	// HomeRegion restricts the home entries of idempotency keys to one region; empty means every region.
	HomeRegion string
	// ShortSlots is the number of slots per upstream that are reserved for short tasks; nil selects the default of
	// EffectiveShortSlots.
	ShortSlots *int
	// Deadline is the time allowed for a job for which neither the caller nor the kind sets a deadline.
	Deadline time.Duration
	// MaxBody is the largest body of one task in bytes.
	MaxBody int
	// Quota, Retries, Ejection and Hedging are optional features; nil turns a feature off.
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
	// Idempotent requests may be run more than once without harm. Others are never started twice.
	Idempotent bool
	// Long requests may not use the slots that are reserved for short ones.
	Long bool
	// Deadline is the time allowed for a job whose caller sets none. Parse fills in the service's deadline as the default.
	Deadline time.Duration
	Method   string
	Path     string
	Requires Requires
}

// Requires lists the resources that a worker needs to run a request.
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
	// Burst is the number of tasks that may start at once in excess of the rate.
	Burst int
	// MaxRunning is the largest number of concurrent tasks; 0 means no limit.
	MaxRunning int
}

// Retries allows an idempotent task to be started again when an attempt has ended without an answer.
type Retries struct {
	// Budget is the largest allowed ratio of retries to first attempts of a team.
	Budget float64
}

// Ejection configures outlier detection: upstreams whose error rate is far above that of their peers get no work.
type Ejection struct {
	// MaxShare is the largest fraction of the upstreams that may be ejected at the same time.
	MaxShare float64
	// Margin is how far the error rate, a fraction from 0 to 1, has to exceed the median of the peers.
	Margin float64
	// ProbeAfter is the time after which an ejected upstream gets work again as a probe.
	ProbeAfter time.Duration
}

// Hedging starts a second copy of an idempotent task that takes unusually long.
type Hedging struct {
	// Quantile selects, from the learned distribution of task durations, the time after which a copy is started.
	Quantile float64
	// Budget is the largest allowed ratio of copies to first attempts.
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

// AllowsUpstream reports whether the upstream with this id in this data centre may serve the service.
func (s *Service) AllowsUpstream(id, dataCentre string) bool {
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

// EffectiveSlots returns the number of concurrent tasks allowed on an upstream whose agent announces the given number of
// slots.
func (s *Service) EffectiveSlots(announced int) int {
	if s.Slots == 0 {
		return announced
	}
	return min(s.Slots, announced)
}

// shortSlotsDivisor reserves a quarter of the slots for short tasks by default.
const shortSlotsDivisor = 4

// EffectiveShortSlots returns how many of the slots of an upstream are reserved for short tasks. At least one slot stays
// available to long tasks.
func (s *Service) EffectiveShortSlots(slots int) int {
	if slots <= 1 {
		return 0
	}
	if s.ShortSlots != nil {
		return min(*s.ShortSlots, slots-1)
	}
	return max(slots/shortSlotsDivisor, 1)
}
