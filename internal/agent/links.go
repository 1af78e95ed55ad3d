package agent

import (
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

var errWrongHome = eris.New("peer sent a start of another home")

// versions holds the version of the list of entries and the digest of the document revisions that the pings and pongs of
// the agent carry.
type versions struct{ list, documents atomic.Uint64 }

// Versions implements link.VersionSource.
func (v *versions) Versions() (list, documents uint64) { return v.list.Load(), v.documents.Load() }

// homeState is the delivery state of results for one incarnation of an entry.
type homeState struct {
	entryID      string
	link         *link.Link // newest link; nil while there is none
	linkedAt     time.Time
	lastResultAt time.Time
	// confirmPingSequence is the sequence number of the ping that confirms the delivery of all results. It is 0 if none
	// was sent since the last result and on the newest link.
	confirmPingSequence uint64
	resultsConfirmed    bool
}

func (s *homeState) markResultSent(now time.Time) {
	s.lastResultAt = now
	s.confirmPingSequence = 0
	s.resultsConfirmed = false
}

// linkOpened is the event of a new link whose handshake is complete.
type linkOpened struct {
	link    *link.Link
	welcome *wire.Welcome
	address string
}

func (e linkOpened) apply(c *control) {
	peer := e.link.Peer().Hello
	c.links[e.link] = 0
	c.setResultLink(peer.Incarnation, e.link)
	c.options.Log.WithField("entry", peer.ID).Info("agent: linked to entry")
	c.dialTargets.recordEntryID(e.address, peer.ID)
	if e.welcome.List != nil {
		c.adoptList(e.welcome.List)
	}
	if c.drain != nil {
		_ = e.link.Send(&wire.Leaving{})
	}
}

// linkClosed is the event of a closed link.
type linkClosed struct {
	link  *link.Link
	cause error
}

func (e linkClosed) apply(c *control) {
	delete(c.links, e.link)
	c.options.Log.WithField("entry", e.link.Peer().Hello.ID).WithError(e.cause).Info("agent: link to entry closed")
	for _, state := range c.homes {
		if state.link != e.link {
			continue
		}
		state.link = nil
		state.confirmPingSequence = 0
	}
	for l := range c.links { // an older link may still be open
		c.setResultLinkIfNone(l)
	}
}

// setResultLink makes l the link on which results are sent to the home.
func (c *control) setResultLink(incarnation uint64, l *link.Link) {
	state := c.homes[incarnation]
	if state == nil {
		state = &homeState{entryID: l.Peer().Hello.ID}
		c.homes[incarnation] = state
	}
	if state.link == l {
		return
	}
	state.link = l
	state.linkedAt = c.now()
	state.confirmPingSequence = 0
}

func (c *control) setResultLinkIfNone(l *link.Link) {
	incarnation := l.Peer().Hello.Incarnation
	if state := c.homes[incarnation]; state == nil || state.link == nil {
		c.setResultLink(incarnation, l)
	}
}

// expireHomes removes homes without a link that got neither a result nor a new link within the retention window.
func (c *control) expireHomes(now time.Time) {
	for incarnation, state := range c.homes {
		if state.link == nil && now.Sub(state.lastResultAt) > c.options.Retention && now.Sub(state.linkedAt) > c.options.Retention {
			delete(c.homes, incarnation)
		}
	}
}

// adoptList merges a received list of entries into the current one. If that changes the list, waiting attempts of keyed
// jobs whose home is no longer a member are refused, so that another home can run those jobs.
func (c *control) adoptList(list *wire.EntryList) {
	if !c.records.Adopt(list) {
		return
	}
	version := c.records.List().Version
	c.agent.heartbeatVersions.list.Store(version)
	c.options.Log.WithField("version", version).Info("agent: adopted list of entries")
	c.dialTargets.syncWithList(c.now())
	c.refuseFencedAttempts()
}

func (c *control) refuseFencedAttempts() {
	for _, a := range c.attempts {
		if !a.isWaiting() || a.start.ListVersion == 0 {
			continue
		}
		if !c.records.IsMember(a.start.Home, a.start.HomeIncarnation) {
			c.removeWaiting(a)
			c.refuseAttempt(a, wire.RefusedFenced)
		}
	}
}

// linkHandler implements link.Handler. It posts the messages of a link as events to the control goroutine.
type linkHandler struct{ agent *Agent }

// OnClose implements link.Handler.
func (h linkHandler) OnClose(l *link.Link, cause error) { h.agent.post(linkClosed{l, cause}) }

// OnMessage implements link.Handler.
func (h linkHandler) OnMessage(l *link.Link, m wire.Message) {
	now := h.agent.options.Clock.Now()
	switch m := m.(type) {
	case *wire.Start:
		h.agent.post(startReceived{l, m, now})
	case *wire.Cancel:
		h.agent.post(cancelReceived{l, m, now})
	case *wire.Query:
		h.agent.post(queryReceived{l, m, now})
	case *wire.Collect:
		h.agent.post(collectReceived{l, m, now})
	case *wire.EntryList:
		h.agent.post(listReceived{m})
	case *wire.DocumentPush:
		h.agent.post(documentReceived{m})
	case *wire.Ping:
		h.agent.post(digestReceived{l, m.DocumentDigest})
	case *wire.Pong:
		h.agent.post(digestReceived{l, m.DocumentDigest})
		if m.Sequence&confirmPingBit != 0 {
			h.agent.post(confirmPongReceived{l, m.Sequence})
		}
	}
}

// listReceived is the event of a list of entries that an entry pushed.
type listReceived struct{ list *wire.EntryList }

func (e listReceived) apply(c *control) { c.adoptList(e.list) }

// linksRequested is the event that requests the open links.
type linksRequested struct{ reply chan<- []*link.Link }

func (e linksRequested) apply(c *control) {
	var open []*link.Link
	for l := range c.links {
		open = append(open, l)
	}
	e.reply <- open
}
