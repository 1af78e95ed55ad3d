package entry

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/dispatch"
	"github.com/coltsfootspur/coltsfootspur/internal/document"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// service is one service with its document and the policy that holds its waiting tasks.
type service struct {
	name     string
	revision uint64
	document *document.Service
	policy   dispatch.Policy
	// dirty is set while the service is in control.dirty. wake is the visit that the policy asked for.
	dirty bool
	wake  *timerEntry
}

// applyDocument puts a new revision of a service document into force.
func (c *control) applyDocument(name string, revision uint64, d *document.Service) {
	s := c.services[name]
	if s == nil {
		policy, err := dispatch.New(dispatch.ExpectedCompletion, dispatch.Options{
			Now: c.startedAt, Random: c.random, DataCentre: c.options.DataCentre, Config: policyConfig(d),
		})
		if err != nil {
			c.log.WithField("service", name).WithError(err).Error("dispatch: cannot create the policy")
			return
		}
		s = &service{name: name}
		s.policy = markingPolicy{Policy: policy, mark: func() { c.markDirty(s) }}
		c.services[name] = s
	}
	s.revision, s.document = revision, d
	c.publishAccess()
	s.policy.SetConfig(c.now, policyConfig(d))
	for _, session := range c.agents {
		c.offerIfServing(s, session)
	}
	c.log.WithField("service", name).WithField("revision", revision).Info("document: revision in force")
}

func (c *control) offerIfServing(s *service, session *agentSession) {
	for _, name := range session.hello.Services {
		if name == s.name {
			c.offerTo(s, session)
		}
	}
}

// removeService withdraws a deleted service. Waiting tasks are refused; started ones run to their end.
func (c *control) removeService(name string) {
	s := c.services[name]
	if s == nil {
		return
	}
	for _, j := range c.jobs {
		if j.service == s {
			c.failJob(j, failure{reason: wire.ReasonNoService, message: "the service was deleted"})
		}
	}
	delete(c.services, name)
	c.publishAccess()
	c.timers.cancel(s.wake)
	c.log.WithField("service", name).Info("document: service deleted")
}

// policyConfig derives the configuration of the policy from a document.
func policyConfig(d *document.Service) dispatch.Config {
	config := dispatch.Config{
		Kinds:   make(map[string]dispatch.Kind, len(d.Kinds)),
		Allowed: append(append([]string(nil), d.Upstreams.IDs...), d.Upstreams.DataCentres...),
	}
	for _, k := range d.Kinds {
		config.Kinds[k.Name] = dispatch.Kind{
			Long: k.Long, MemoryMB: uint32(k.Requires.MemoryMB), Accelerators: uint16(k.Requires.Accelerators),
		}
	}
	if d.ShortSlots != nil {
		config.ShortSlots = *d.ShortSlots
		if config.ShortSlots == 0 {
			config.ShortSlots = -1 // the policy takes 0 for its default
		}
	}
	if r := d.Retries; r != nil {
		config.Retries = &dispatch.Retries{Share: r.Budget, MaxAttempts: maxStartedAttempts}
	}
	if e := d.Ejection; e != nil {
		config.Ejection = &dispatch.Ejection{MaxShare: e.MaxShare, ErrorRate: e.Margin, Rest: e.ProbeAfter}
	}
	if h := d.Hedging; h != nil {
		config.Hedging = &dispatch.Hedging{Factor: hedgeFactor, Share: h.Budget}
	}
	return config
}

const (
	// maxStartedAttempts bounds the attempts of one idempotent task when retries are on.
	maxStartedAttempts = 3
	// hedgeFactor times the 95th percentile of the learned times is the age at which a copy is started.
	hedgeFactor = 1.5
)

// deadlineOf returns the time allowed for a job: the caller's wish, bounded, or the default of its kind.
func deadlineOf(k document.Kind, wishMillis uint32) time.Duration {
	wish := time.Duration(wishMillis) * time.Millisecond
	if wish <= 0 {
		wish = k.Deadline
	}
	return min(wish, wire.MaxDeadline)
}
