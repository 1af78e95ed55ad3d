package agent

import (
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"

	"github.com/coltsfootspur/coltsfootspur/internal/agent/slots"
	"github.com/coltsfootspur/coltsfootspur/internal/document"
	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// documents holds the revision of the document of each service that the agent serves.
type documents map[string]uint64

func newDocuments(services []string) documents {
	d := make(documents, len(services))
	for _, service := range services {
		d[service] = 0
	}
	return d
}

func (d documents) revision(service string) uint64 { return d[service] }

func (d documents) revisions() map[string]uint64 { return maps.Clone(d) }

// digest is a hash of the revisions, in the order of the services.
func (d documents) digest() uint64 {
	h := fnv.New64a()
	for _, service := range slices.Sorted(maps.Keys(d)) {
		_, _ = h.Write([]byte(service))
		_, _ = h.Write(binary.BigEndian.AppendUint64([]byte{0}, d[service]))
	}
	return h.Sum64()
}

// digestReceived is the digest of document revisions in a heartbeat. It covers all services of the deployment, so it
// differs from that of the agent; a change of it means that some document changed.
type digestReceived struct {
	link   *link.Link
	digest uint64
}

func (e digestReceived) apply(c *control) {
	before, open := c.links[e.link]
	if !open || e.digest == before {
		return
	}
	c.links[e.link] = e.digest
	c.pullDocuments(e.link)
}

// documentReceived is a document that an entry pushed.
type documentReceived struct{ push *wire.DocumentPush }

func (e documentReceived) apply(c *control) {
	push := e.push
	have, served := c.documents[push.Service]
	if !served || push.Revision <= have {
		return
	}
	entry := c.options.Log.WithField("service", push.Service).WithField("revision", push.Revision)
	limits, err := parseLimits(push, min(c.options.Slots, c.options.Connections))
	if err != nil {
		entry.WithError(err).Error("agent: document cannot be read, keeping the former one")
		return
	}
	c.documents[push.Service] = push.Revision
	c.agent.versions.documents.Store(c.documents.digest())
	c.slots.SetLimits(push.Service, limits)
	entry.Info("agent: applied document")
	c.release(func(a *attempt) bool {
		return a.start.Service == push.Service && a.start.DocumentRevision <= push.Revision
	})
}

// parseLimits reads the fields of a document that concern an agent. A call holds one connection, so the lowest of slots,
// connections and the ceiling of the agent counts. At least one slot is left for long work.
func parseLimits(push *wire.DocumentPush, ceiling int) (slots.Limits, error) {
	if push.Deleted {
		return slots.Limits{}, nil
	}
	service, err := document.Parse(push.Body)
	if err != nil {
		return slots.Limits{}, err
	}
	limits := slots.Limits{Slots: min(service.SlotsOf(ceiling), service.Connections)}
	limits.ShortSlots = service.ShortSlotsOf(limits.Slots)
	return limits, nil
}

// pullDocuments asks for the documents that are newer than those of the agent.
func (c *control) pullDocuments(l *link.Link) {
	if l != nil {
		_ = l.Send(&wire.DocumentPull{Revisions: c.documents.revisions()})
	}
}
