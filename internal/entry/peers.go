package entry

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// peer is another entry, as long as it is in the list of entries or connected.
type peer struct {
	id          string
	incarnation uint64
	link        *link.Link // nil while there is none
	downSince   time.Time  // when link became nil
	upSince     time.Time  // when link was taken into use
	// asked is the sequence of the last ping that confirms the link, sent at askedAt. confirmedAt is when the last one
	// was sent that this run of the peer answered.
	asked                uint64
	askedAt, confirmedAt time.Time
	address              string // that the dialler uses
	stopDialler          context.CancelFunc
}

// peerOf returns the peer with the given id and creates it when it is new.
func (c *control) peerOf(id string) *peer {
	p := c.peers[id]
	if p == nil {
		p = &peer{id: id, downSince: c.now}
		c.peers[id] = p
	}
	return p
}

// attachPeer takes a new link to another entry into use.
func (c *control) attachPeer(l *link.Link, list *wire.EntryList) {
	hello := l.Peer().Hello
	p := c.peerOf(hello.ID)
	if p.link != nil {
		p.link.Close(errReplaced)
	}
	if p.incarnation != hello.Incarnation {
		p.confirmedAt = time.Time{}
	}
	p.link, p.upSince, p.incarnation, p.asked = l, c.now, hello.Incarnation, 0
	if list != nil {
		c.adoptList(list)
	}
	c.greetPeer(p, hello.ListVersion, hello.DocumentRevisions)
	c.log.WithField("entry", p.id).Info("entry: connected to another entry")
	c.perform(c.table.MemberConnected(memberOf(l)))
	c.sendHandovers()
	c.resendForwards(p)
}

// greetPeer sends what a newly connected entry may lack.
func (c *control) greetPeer(p *peer, listVersion uint64, revisions map[string]uint64) {
	if c.list.Version > listVersion || len(c.list.Stopped) > 0 {
		c.sendList(p.link)
	}
	c.sendDocuments(p.link, nil, revisions)
	_ = p.link.Send(c.table.FullRoster(c.now))
}

// detachPeer notes that a link to another entry has closed. Forwarded jobs are sent again on the next link.
func (c *control) detachPeer(l *link.Link, cause error) {
	p := c.peers[l.Peer().Hello.ID]
	if p == nil || p.link != l {
		return
	}
	p.link, p.downSince = nil, c.now
	c.log.WithField("entry", p.id).WithField("cause", eris.ToString(cause, false)).
		Warn("entry: lost the link to another entry")
}

func (c *control) sendList(l *link.Link) {
	list := c.list
	_ = l.Send(&list)
}

// peerMessage handles a message of another entry.
func (c *control) peerMessage(l *link.Link, m wire.Message) {
	switch m := m.(type) {
	case *wire.EntryList:
		c.adoptList(m)
	case *wire.Forward:
		c.forwardReceived(l, m)
	case *wire.ForwardReply:
		c.forwardAnswered(m)
	case *wire.Inherit:
		c.inheritReceived(l, m)
	case *wire.Inherited:
		c.inheritedReceived(l, m)
	case *wire.Handover:
		c.handoverReceived(l, m)
	case *wire.HandoverAck:
		c.handoverConfirmed(l, m)
	case *wire.DocumentPush:
		c.documentReceived(m)
	case *wire.DocumentNotice:
		c.documentNoticed(l, m)
	case *wire.DocumentPull:
		c.sendDocuments(l, m.Services, m.Revisions)
	case *wire.AgentRoster:
		c.rosterReceived(l, m)
	case *wire.QuotaUsage:
		c.quotas.Report(c.now, l.Peer().Hello.ID, *m)
	case *wire.Pong:
		if p := c.peers[l.Peer().Hello.ID]; p != nil && p.link == l {
			p.confirmed(m.Sequence)
		}
		c.comparePeer(l, m.ListVersion, m.DocumentDigest)
	case *wire.Ping:
		c.comparePeer(l, m.ListVersion, m.DocumentDigest)
	}
}

// comparePeer sends a peer the list if the peer's is older, and pulls documents if the revisions differ.
func (c *control) comparePeer(l *link.Link, listVersion, documentDigest uint64) {
	if listVersion < c.list.Version {
		c.sendList(l)
	}
	if l.Peer().Hello.Role == wire.RoleEntry && documentDigest != c.documents.Digest() {
		_ = l.Send(&wire.DocumentPull{Revisions: c.documents.Revisions()})
	}
}

// broadcast sends a message to every connected entry.
func (c *control) broadcast(m wire.Message) {
	for _, p := range c.peers {
		if p.link != nil {
			_ = p.link.Send(m)
		}
	}
}
