package agent

import (
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

var errWrongHome = eris.New("peer sent a start of another home")

// versions is what the pings and pongs of the agent carry.
type versions struct{ list, documents atomic.Uint64 }

// Versions implements link.State.
func (v *versions) Versions() (list, documents uint64) { return v.list.Load(), v.documents.Load() }

// homeState is what the agent knows about one incarnation of an entry.
type homeState struct {
	id         string
	link       *link.Link // newest link; nil while there is none
	linkedAt   time.Time
	lastResult time.Time
	// confirm is the sequence of the ping that confirms the delivery of all results; 0 when none was sent since the
	// last result or on the newest link.
	confirm   uint64
	delivered bool
}

func (s *homeState) noteResult(now time.Time) {
	s.lastResult = now
	s.confirm = 0
	s.delivered = false
}

// linkUp is a new link after the handshake.
type linkUp struct {
	link    *link.Link
	welcome *wire.Welcome
	address string
}

func (e linkUp) apply(c *control) {
	peer := e.link.Peer().Hello
	c.links[e.link] = 0
	c.route(peer.Incarnation, e.link)
	c.options.Log.WithField("entry", peer.ID).Info("agent: linked to entry")
	c.targets.learn(e.address, peer.ID)
	if e.welcome.List != nil {
		c.adopt(e.welcome.List)
	}
	if c.leaving != nil {
		_ = e.link.Send(&wire.Leaving{})
	}
}

// linkDown is the end of a link.
type linkDown struct {
	link  *link.Link
	cause error
}

func (e linkDown) apply(c *control) {
	delete(c.links, e.link)
	c.options.Log.WithField("entry", e.link.Peer().Hello.ID).WithError(e.cause).Info("agent: link to entry closed")
	for _, state := range c.homes {
		if state.link != e.link {
			continue
		}
		state.link = nil
		state.confirm = 0
	}
	for l := range c.links { // an older link may still be open
		c.routeIfNone(l)
	}
}

// route makes the link the one on which the home gets its results.
func (c *control) route(incarnation uint64, l *link.Link) {
	state := c.homes[incarnation]
	if state == nil {
		state = &homeState{id: l.Peer().Hello.ID}
		c.homes[incarnation] = state
	}
	if state.link == l {
		return
	}
	state.link = l
	state.linkedAt = c.now()
	state.confirm = 0
}

func (c *control) routeIfNone(l *link.Link) {
	incarnation := l.Peer().Hello.Incarnation
	if state := c.homes[incarnation]; state == nil || state.link == nil {
		c.route(incarnation, l)
	}
}

// expireHomes forgets homes that have had no link and no result for the retention window.
func (c *control) expireHomes(now time.Time) {
	for incarnation, state := range c.homes {
		if state.link == nil && now.Sub(state.lastResult) > c.options.Retention && now.Sub(state.linkedAt) > c.options.Retention {
			delete(c.homes, incarnation)
		}
	}
}

// adopt replaces the list of entries by one with a higher version. Waiting attempts of keyed jobs whose home is no
// member any more are refused, so that another home can run those jobs.
func (c *control) adopt(list *wire.EntryList) {
	if !c.records.Adopt(list) {
		return
	}
	version := c.records.List().Version
	c.agent.versions.list.Store(version)
	c.options.Log.WithField("version", version).Info("agent: adopted list of entries")
	c.targets.update(c.now())
	c.fenceWaiting()
}

func (c *control) fenceWaiting() {
	for _, a := range c.attempts {
		if !a.waits() || a.start.ListVersion == 0 {
			continue
		}
		if !c.records.IsMember(a.start.Home, a.start.HomeIncarnation) {
			c.drop(a)
			c.refuse(a, wire.RefusedFenced)
		}
	}
}

// handler turns the messages of a link into events. It implements link.Handler.
type handler struct{ agent *Agent }

// OnClose implements link.Handler.
func (h handler) OnClose(l *link.Link, cause error) { h.agent.post(linkDown{l, cause}) }

// OnMessage implements link.Handler.
func (h handler) OnMessage(l *link.Link, m wire.Message) {
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
		if m.Sequence&confirmBit != 0 {
			h.agent.post(confirmed{l, m.Sequence})
		}
	}
}

type listReceived struct{ list *wire.EntryList }

func (e listReceived) apply(c *control) { c.adopt(e.list) }

// linksRequested asks for the open links.
type linksRequested struct{ reply chan<- []*link.Link }

func (e linksRequested) apply(c *control) {
	var open []*link.Link
	for l := range c.links {
		open = append(open, l)
	}
	e.reply <- open
}
