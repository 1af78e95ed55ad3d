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

// documentRevisions maps each service that the agent serves to the revision of its document; 0 means that the agent has
// none.
type documentRevisions map[string]uint64

func newDocumentRevisions(services []string) documentRevisions {
	d := make(documentRevisions, len(services))
	for _, service := range services {
		d[service] = 0
	}
	return d
}

func (d documentRevisions) of(service string) uint64 { return d[service] }

func (d documentRevisions) clone() map[string]uint64 { return maps.Clone(d) }

// digest returns a hash of the services and their revisions, sorted by service.
func (d documentRevisions) digest() uint64 {
	h := fnv.New64a()
	for _, service := range slices.Sorted(maps.Keys(d)) {
		_, _ = h.Write([]byte(service))
		_, _ = h.Write(binary.BigEndian.AppendUint64([]byte{0}, d[service]))
	}
	return h.Sum64()
}

// digestReceived is the event of a heartbeat with the digest of the document revisions of an entry. The digest covers all
// services of the deployment, so it cannot be compared with that of the agent; but if it changes, a document has changed.
type digestReceived struct {
	link   *link.Link
	digest uint64
}

func (e digestReceived) apply(c *control) {
	previous, isOpen := c.links[e.link]
	if !isOpen || e.digest == previous {
		return
	}
	c.links[e.link] = e.digest
	c.pullDocuments(e.link)
}

// documentReceived is the event of a document that an entry pushed.
type documentReceived struct{ push *wire.DocumentPush }

func (e documentReceived) apply(c *control) {
	push := e.push
	current, isServed := c.revisions[push.Service]
	if !isServed || push.Revision <= current {
		return
	}
	logger := c.options.Log.WithField("service", push.Service).WithField("revision", push.Revision)
	limits, err := limitsOfDocument(push, min(c.options.Slots, c.options.Connections))
	if err != nil {
		logger.WithError(err).Error("agent: cannot parse document, keeping the current revision")
		return
	}
	c.revisions[push.Service] = push.Revision
	c.agent.heartbeatVersions.documents.Store(c.revisions.digest())
	c.slots.SetLimits(push.Service, limits)
	logger.Info("agent: applied document")
	c.releaseHeldAttempts(func(a *attempt) bool {
		return a.start.Service == push.Service && a.start.DocumentRevision <= push.Revision
	})
}

// limitsOfDocument returns the slot limits in a document. A call holds one connection, so the number of slots is the lowest
// of the slots and connections in the document and maxSlots. At least one slot is left for long tasks.
func limitsOfDocument(push *wire.DocumentPush, maxSlots int) (slots.Limits, error) {
	if push.Deleted {
		return slots.Limits{}, nil
	}
	service, err := document.Parse(push.Body)
	if err != nil {
		return slots.Limits{}, err
	}
	limits := slots.Limits{Slots: min(service.EffectiveSlots(maxSlots), service.Connections)}
	limits.ShortSlots = service.EffectiveShortSlots(limits.Slots)
	return limits, nil
}

// pullDocuments requests the documents that are newer than those of the agent. It does nothing if l is nil.
func (c *control) pullDocuments(l *link.Link) {
	if l != nil {
		_ = l.Send(&wire.DocumentPull{Revisions: c.revisions.clone()})
	}
}
