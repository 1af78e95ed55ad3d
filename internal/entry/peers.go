package entry

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// peer is another entry that is in the list of entries or connected.
type peer struct {
	id          string
	incarnation uint64
	link        *link.Link // nil while the peer is not connected
	downSince   time.Time  // when link became nil
	upSince     time.Time  // when link was attached
	// confirmationSequence is the sequence of the last confirmation ping, sent at confirmationSentAt. confirmedAt is the
	// time at which the last ping was sent that this run of the peer answered.
	confirmationSequence            uint64
	confirmationSentAt, confirmedAt time.Time
	address                         string // the one that the dialler uses
	stopDialler                     context.CancelFunc
}

// peerOf returns the peer with the given id and creates it if there is none.
func (c *control) peerOf(id string) *peer {
	p := c.peers[id]
	if p == nil {
		p = &peer{id: id, downSince: c.now}
		c.peers[id] = p
	}
	return p
}

// attachPeer replaces the link to another entry by a new one. list is the one of the peer's welcome, or nil.
func (c *control) attachPeer(l *link.Link, list *wire.EntryList) {
	hello := l.Peer().Hello
	p := c.peerOf(hello.ID)
	if p.link != nil {
		p.link.Close(errLinkReplaced)
	}
	if p.incarnation != hello.Incarnation {
		p.confirmedAt = time.Time{}
	}
	p.link, p.upSince, p.incarnation, p.confirmationSequence = l, c.now, hello.Incarnation, 0
	if list != nil {
		c.adoptList(list)
	}
	c.sendInitialState(p, hello.ListVersion, hello.DocumentRevisions)
	c.log.WithField("entry", p.id).Info("entry: connected to another entry")
	c.performActions(c.table.MemberConnected(memberOf(l)))
	c.sendHandovers()
	c.resendForwards(p)
}

// sendInitialState sends the list, the documents and the agents that a newly connected entry may lack.
func (c *control) sendInitialState(p *peer, listVersion uint64, revisions map[string]uint64) {
	if c.list.Version > listVersion || len(c.list.Stopped) > 0 {
		c.sendList(p.link)
	}
	c.sendDocuments(p.link, nil, revisions)
	_ = p.link.Send(c.table.FullRoster(c.now))
}

// detachPeer handles the close of a link to another entry. Forwarded jobs are sent again on the next link.
func (c *control) detachPeer(l *link.Link, cause error) {
	p := c.peers[l.Peer().Hello.ID]
	if p == nil || p.link != l {
		return
	}
	p.link, p.downSince = nil, c.now
	c.log.WithField("entry", p.id).WithField("cause", eris.ToString(cause, false)).
		Warn("entry: lost the link to another entry; forwarded jobs are sent again on the next link")
}

func (c *control) sendList(l *link.Link) {
	list := c.list
	_ = l.Send(&list)
}

// handlePeerMessage handles a message of another entry.
func (c *control) handlePeerMessage(l *link.Link, m wire.Message) {
	switch m := m.(type) {
	case *wire.EntryList:
		c.adoptList(m)
	case *wire.Forward:
		c.handleForward(l, m)
	case *wire.ForwardReply:
		c.handleForwardReply(m)
	case *wire.InheritRequest:
		c.handleInheritRequest(l, m)
	case *wire.InheritReply:
		c.handleInheritReply(l, m)
	case *wire.Handover:
		c.handleHandover(l, m)
	case *wire.HandoverAck:
		c.handleHandoverAck(l, m)
	case *wire.DocumentPush:
		c.handleDocumentPush(m)
	case *wire.DocumentNotice:
		c.handleDocumentNotice(l, m)
	case *wire.DocumentPull:
		c.sendDocuments(l, m.Services, m.Revisions)
	case *wire.AgentRoster:
		c.handleRoster(l, m)
	case *wire.QuotaUsage:
		c.quotas.ReceiveReport(c.now, l.Peer().Hello.ID, *m)
	case *wire.Pong:
		if p := c.peers[l.Peer().Hello.ID]; p != nil && p.link == l {
			p.recordConfirmation(m.Sequence)
		}
		c.syncPeer(l, m.ListVersion, m.DocumentDigest)
	case *wire.Ping:
		c.syncPeer(l, m.ListVersion, m.DocumentDigest)
	}
}

// syncPeer sends the list to an agent or entry whose version is older, and pulls documents from an entry whose digest
// differs.
func (c *control) syncPeer(l *link.Link, listVersion, documentDigest uint64) {
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
