package entry

import (
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/document"
	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/quota"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// documentProbeTimeout is the time within which the receiver of a document must answer a ping. After it the unresponsive
// link is closed, and the receiver gets the document on its next link, within the bound of 4 s.
const documentProbeTimeout = 500 * time.Millisecond

// handleDocumentPush applies a document that another entry sent.
func (c *control) handleDocumentPush(m *wire.DocumentPush) {
	change, applied, err := c.documents.ApplyPush(m)
	if err != nil {
		c.log.WithField("cause", eris.ToString(err, false)).Error("document: ignoring a malformed document that another entry sent")
		return
	}
	if applied {
		c.applyDocumentChange(change)
	}
}

// applyDocumentChange puts a new revision into force at this entry and propagates it.
func (c *control) applyDocumentChange(change document.Change) {
	d := change.Document
	c.entry.versions.documents.Store(c.documents.Digest())
	if errors.Is(change.Err, document.ErrHomeRegion) {
		c.log.WithField("service", d.Service).WithField("revision", d.Revision).
			WithField("cause", eris.ToString(change.Err, false)).
			Error("document: revision changes the home region; keeping the previous region")
		c.applyDocument(d.Service, d.Revision, change.Service)
	} else if change.Err != nil {
		c.log.WithField("service", d.Service).WithField("revision", d.Revision).
			WithField("cause", eris.ToString(change.Err, false)).
			Error("document: cannot use the revision; keeping the previous one in force")
	} else if change.Service == nil {
		c.removeService(d.Service)
	} else {
		c.applyDocument(d.Service, d.Revision, change.Service)
	}
	c.updateQuotaLimits()
	c.propagateDocument(d)
}

// propagateDocument announces a revision to the other entries and sends the document to the agents of its service. Most
// entries already have it from the store, so they get only a notice and pull the document if they lack it.
func (c *control) propagateDocument(d document.Document) {
	notice := &wire.DocumentNotice{Service: d.Service, Revision: d.Revision, EditID: d.EditID}
	for _, p := range c.peers {
		c.sendAndProbe(p.link, notice)
	}
	push := document.ToPush(d)
	for _, s := range c.agents {
		if slices.Contains(s.hello.Services, d.Service) {
			c.sendAndProbe(s.link, push)
		}
	}
}

// handleDocumentNotice pulls a document that another entry has and this one lacks. Two edits with the same revision can
// only come from a store that was restored from older data; the registry decides between them.
func (c *control) handleDocumentNotice(l *link.Link, m *wire.DocumentNotice) {
	own, _ := c.documents.Get(m.Service)
	if own.Revision > m.Revision || own.Revision == m.Revision && own.EditID == m.EditID || m.Revision == 0 {
		return
	}
	_ = l.Send(&wire.DocumentPull{
		Services: []string{m.Service}, Revisions: map[string]uint64{m.Service: m.Revision - 1},
	})
}

// sendAndProbe sends a message and a ping, and closes the link if the receiver does not answer the ping within
// documentProbeTimeout. A nil link is allowed.
func (c *control) sendAndProbe(l *link.Link, m wire.Message) {
	if l != nil && l.Send(m) == nil {
		l.Probe(documentProbeTimeout)
	}
}

// sendDocuments sends the documents that are newer than the peer's revisions. It is limited to the given services unless
// they are nil.
func (c *control) sendDocuments(l *link.Link, services []string, revisions map[string]uint64) {
	var wanted func(string) bool
	if services != nil {
		wanted = func(name string) bool { return slices.Contains(services, name) }
	}
	for _, push := range c.documents.MissingPushes(&wire.DocumentPull{Revisions: revisions}, wanted) {
		_ = l.Send(push)
	}
}

// updateQuotaLimits derives the quotas of the teams from all documents. A team with several services gets the sum of their
// limits.
func (c *control) updateQuotaLimits() {
	limits := make(map[string]quota.Limit)
	for _, s := range c.services {
		q := s.document.Quota
		if q == nil {
			continue
		}
		l := limits[s.document.Team]
		l.Rate += q.Rate
		l.Burst += float64(q.Burst)
		l.Running += q.MaxRunning
		limits[s.document.Team] = l
	}
	c.quotas.SetLimits(c.now, limits)
}
