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
	// dirty is set while the service is in control.dirtyServices. wakeTimer triggers the visit that the policy requested.
	dirty     bool
	wakeTimer *pendingTimer
}

// applyDocument puts a new revision of a service document into force.
func (c *control) applyDocument(name string, revision uint64, d *document.Service) {
	s := c.services[name]
	if s == nil {
		policy, err := dispatch.New(dispatch.ExpectedCompletion, dispatch.Options{
			Now: c.startedAt, Random: c.random, DataCentre: c.options.DataCentre, Config: policyConfig(d),
		})
		if err != nil {
			c.log.WithField("service", name).WithError(err).Error("dispatch: cannot create the policy of a service; ignoring its document")
			return
		}
		s = &service{name: name}
		s.policy = dirtyMarker{Policy: policy, markDirty: func() { c.markDirty(s) }}
		c.services[name] = s
	}
	s.revision, s.document = revision, d
	c.publishCallerTokens()
	s.policy.SetConfig(c.now, policyConfig(d))
	for _, session := range c.agents {
		c.addAgentIfServing(s, session)
	}
	c.log.WithField("service", name).WithField("revision", revision).Info("document: revision in force")
}

// addAgentIfServing makes an agent available to the policy of a service if the agent serves it.
func (c *control) addAgentIfServing(s *service, session *agentSession) {
	for _, name := range session.hello.Services {
		if name == s.name {
			c.addAgentToPolicy(s, session)
		}
	}
}

// removeService removes a deleted service. Its waiting tasks fail; attempts that were already started run to their end.
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
	c.publishCallerTokens()
	c.timers.cancel(s.wakeTimer)
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
			config.ShortSlots = -1 // 0 means the default of the policy
		}
	}
	if r := d.Retries; r != nil {
		config.Retries = &dispatch.Retries{Budget: r.Budget, MaxAttempts: maxStartedAttempts}
	}
	if e := d.Ejection; e != nil {
		config.Ejection = &dispatch.Ejection{MaxShare: e.MaxShare, ErrorRate: e.Margin, ProbeAfter: e.ProbeAfter}
	}
	if h := d.Hedging; h != nil {
		config.Hedging = &dispatch.Hedging{Factor: hedgeFactor, Budget: h.Budget}
	}
	return config
}

const (
	// maxStartedAttempts bounds the attempts of one idempotent task when retries are enabled.
	maxStartedAttempts = 3
	// hedgeFactor is the age of an attempt at which a hedge is started, as a multiple of the 95th percentile of the observed
	// times.
	hedgeFactor = 1.5
)

// jobTimeBudget returns the time allowed for a job: the time that the caller requested or else the default of its kind, at
// most wire.MaxDeadline.
func jobTimeBudget(k document.Kind, requestedMillis uint32) time.Duration {
	budget := time.Duration(requestedMillis) * time.Millisecond
	if budget <= 0 {
		budget = k.Deadline
	}
	return min(budget, wire.MaxDeadline)
}
