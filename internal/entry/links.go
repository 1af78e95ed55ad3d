package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/link"
	table "github.com/coltsfootspur/coltsfootspur/internal/submission"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// serveLink accepts a link from an agent or from another entry.
func (e *Entry) serveLink(w http.ResponseWriter, r *http.Request) {
	conn, err := link.Upgrade(w, r, e.options.LinkToken)
	if err != nil {
		e.log.WithField("cause", eris.ToString(err, false)).Warn("link: refused a connection")
		return
	}
	l, err := link.Accept(r.Context(), conn, e.answerHello, e.linkOptions())
	if err != nil {
		e.log.WithField("cause", eris.ToString(err, false)).Warn("link: handshake failed; closing the connection")
		return
	}
	e.attachLink(l, nil)
	<-l.Done()
}

// answerHello returns the welcome for the hello of a process that dialled this entry. An agent is welcomed after the other
// entries were sent the roster that includes it.
func (e *Entry) answerHello(hello *wire.Hello) *wire.Welcome {
	reply := make(chan *wire.Welcome, 1)
	e.post(func(c *control) {
		refusal := c.checkHello(hello)
		answer := func() { reply <- c.newWelcome(hello, refusal) }
		if hello.Role == wire.RoleAgent {
			c.runAfterRosterSent(answer)
		} else {
			answer()
		}
	})
	select {
	case w := <-reply:
		return w
	case <-e.stopped:
		return &wire.Welcome{Refused: "entry has stopped"}
	}
}

// checkHello returns why a hello is refused, or "" when it is accepted. An accepted agent is announced to the other entries
// before it is welcomed and can get a start, so that they query it if this entry is lost.
func (c *control) checkHello(hello *wire.Hello) string {
	switch {
	case hello.ID == "":
		return "the hello has no id"
	case hello.Role == wire.RoleAgent:
		refusal := c.checkAgentHello(hello)
		if refusal == "" {
			ref := table.AgentRef{ID: hello.ID, Incarnation: hello.Incarnation}
			c.performActions(c.table.AgentConnected(c.now, ref, hello.StartedAt))
		}
		return refusal
	case hello.Role != wire.RoleEntry:
		return "the role is not known"
	}
	return ""
}

// newWelcome returns the welcome for a hello; refusal is the reason for which the hello is refused, or "".
func (c *control) newWelcome(hello *wire.Hello, refusal string) *wire.Welcome {
	list := c.list
	w := &wire.Welcome{
		ID: c.options.ID, Incarnation: c.incarnation, DataCentre: c.options.DataCentre, Region: c.options.Region,
		HeartbeatMillis: uint32(c.targetHeartbeatInterval().Milliseconds()), List: &list, Refused: refusal,
	}
	if hello.Role == wire.RoleEntry {
		w.DocumentRevisions = c.documents.Revisions()
	}
	return w
}

func (e *Entry) linkOptions() link.Options {
	return link.Options{Clock: e.options.Clock, Stats: &e.linkStats, Versions: &e.versions}
}

// attachLink starts a link whose handshake is done. The event that attaches it is posted before the link can deliver its
// first message.
func (e *Entry) attachLink(l *link.Link, list *wire.EntryList) {
	agent := l.Peer().Hello.Role == wire.RoleAgent
	e.post(func(c *control) {
		if agent {
			c.attachAgent(l)
		} else {
			c.attachPeer(l, list)
		}
	})
	l.Start(&linkHandler{entry: e, agent: agent})
}

// linkHandler posts the events of a link to the control goroutine.
type linkHandler struct {
	entry *Entry
	agent bool
}

// OnMessage implements link.Handler.
func (h *linkHandler) OnMessage(l *link.Link, m wire.Message) {
	h.entry.post(func(c *control) {
		if h.agent {
			c.handleAgentMessage(l, m)
		} else {
			c.handlePeerMessage(l, m)
		}
	})
}

// OnClose implements link.Handler.
func (h *linkHandler) OnClose(l *link.Link, cause error) {
	h.entry.post(func(c *control) {
		if h.agent {
			c.detachAgent(l, cause)
		} else {
			c.detachPeer(l, cause)
		}
	})
}

// maintainPeerLink keeps a link to the entry at the address until the context ends. Of two entries only the one with the
// lower id dials, so that they share one link.
func (e *Entry) maintainPeerLink(ctx context.Context, address string) {
	var backoff link.Backoff
	for ctx.Err() == nil {
		dialledAt := e.options.Clock.Now()
		if l := e.dialOnce(ctx, address); l != nil {
			select {
			case <-l.Done():
			case <-ctx.Done():
				return
			}
		}
		const minStableDuration = 5 * time.Second
		if e.options.Clock.Now().Sub(dialledAt) > minStableDuration {
			backoff.Reset()
		}
		e.sleep(ctx, backoff.Next())
	}
}

// dialOnce dials the entry at the address and attaches the link. It returns nil when that fails.
func (e *Entry) dialOnce(ctx context.Context, address string) *link.Link {
	hello := wire.Hello{
		Role: wire.RoleEntry, ID: e.options.ID, Incarnation: e.incarnation,
		DataCentre: e.options.DataCentre, Region: e.options.Region, StartedAt: e.startedAt,
	}
	err := e.call(ctx, func(c *control) {
		hello.ListVersion, hello.DocumentRevisions = c.list.Version, c.documents.Revisions()
	})
	if err != nil {
		return nil
	}
	l, welcome, err := link.Dial(ctx, e.options.Dialer, address, hello, e.linkOptions())
	if err != nil {
		e.log.WithField("address", address).WithField("cause", eris.ToString(err, false)).
			Debug("link: cannot reach another entry")
		return nil
	}
	e.attachLink(l, welcome.List)
	return l
}

// sleep waits for d or until the context ends.
func (e *Entry) sleep(ctx context.Context, d time.Duration) {
	timer := e.options.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C():
	}
}
