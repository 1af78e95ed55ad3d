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

// documentProbe is the time in which the receiver of a document shows a sign of life. A silent link is closed after it,
// and the receiver gets the document on the next one, within the bound of 4 s.
const documentProbe = 500 * time.Millisecond

// documentReceived applies a document that another entry pushed.
func (c *control) documentReceived(m *wire.DocumentPush) {
	change, applied, err := c.documents.ApplyPush(m)
	if err != nil {
		c.log.WithField("cause", eris.ToString(err, false)).Error("document: refused a malformed document")
		return
	}
	if applied {
		c.documentChanged(change)
	}
}

// documentChanged puts a new revision into force here and passes it on.
func (c *control) documentChanged(change document.Change) {
	d := change.Document
	c.entry.versions.documents.Store(c.documents.Digest())
	if errors.Is(change.Problem, document.ErrHomeRegion) {
		c.log.WithField("service", d.Service).WithField("revision", d.Revision).
			WithField("cause", eris.ToString(change.Problem, false)).
			Error("document: revision changes the home region; the former region stays in force")
		c.applyDocument(d.Service, d.Revision, change.Service)
	} else if change.Problem != nil {
		c.log.WithField("service", d.Service).WithField("revision", d.Revision).
			WithField("cause", eris.ToString(change.Problem, false)).
			Error("document: revision is not understood; the former one stays in force")
	} else if change.Service == nil {
		c.removeService(d.Service)
	} else {
		c.applyDocument(d.Service, d.Revision, change.Service)
	}
	c.updateLimits()
	c.spreadDocument(d)
}

// spreadDocument tells the other entries about a revision and sends it to the agents of its service. Most entries have
// it from the store already, so they pull it only if they do not.
func (c *control) spreadDocument(d document.Document) {
	notice := &wire.DocumentNotice{Service: d.Service, Revision: d.Revision, EditID: d.EditID}
	for _, p := range c.peers {
		c.sendProbed(p.link, notice)
	}
	push := document.ToPush(d)
	for _, s := range c.agents {
		if slices.Contains(s.hello.Services, d.Service) {
			c.sendProbed(s.link, push)
		}
	}
}

// documentNoticed pulls a document that another entry has and this one has not. Two edits with the same revision can only
// come from a store that was restored; the registry decides between them.
func (c *control) documentNoticed(l *link.Link, m *wire.DocumentNotice) {
	own, _ := c.documents.Get(m.Service)
	if own.Revision > m.Revision || own.Revision == m.Revision && own.EditID == m.EditID || m.Revision == 0 {
		return
	}
	_ = l.Send(&wire.DocumentPull{
		Services: []string{m.Service}, Revisions: map[string]uint64{m.Service: m.Revision - 1},
	})
}

// sendProbed sends a message whose receiver has to show a sign of life.
func (c *control) sendProbed(l *link.Link, m wire.Message) {
	if l != nil && l.Send(m) == nil {
		l.Probe(documentProbe)
	}
}

// sendDocuments sends the documents that are newer than the revisions of the peer; services limits them, nil does not.
func (c *control) sendDocuments(l *link.Link, services []string, revisions map[string]uint64) {
	var wanted func(string) bool
	if services != nil {
		wanted = func(name string) bool { return slices.Contains(services, name) }
	}
	for _, push := range c.documents.MissingPushes(&wire.DocumentPull{Revisions: revisions}, wanted) {
		_ = l.Send(push)
	}
}

// updateLimits derives the quotas of the teams from all documents. A team with several services has the sum of their
// rates and bursts.
func (c *control) updateLimits() {
	limits := make(map[string]quota.Limit)
	for _, s := range c.services {
		q := s.document.Quota
		if q == nil {
			continue
		}
		l := limits[s.document.Team]
		l.Rate += q.Rate
		l.Burst += float64(q.Burst)
		l.Running += q.Running
		limits[s.document.Team] = l
	}
	c.quotas.SetLimits(c.now, limits)
}
