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
	l, err := link.Accept(r.Context(), conn, e.welcome, e.linkOptions())
	if err != nil {
		e.log.WithField("cause", eris.ToString(err, false)).Warn("link: handshake failed")
		return
	}
	e.attach(l, nil)
	<-l.Done()
}

// welcome answers the hello of a process that dialled.
func (e *Entry) welcome(hello *wire.Hello) *wire.Welcome {
	reply := make(chan *wire.Welcome, 1)
	e.post(func(c *control) {
		refused := c.refusesHello(hello)
		answer := func() { reply <- c.welcome(hello, refused) }
		if hello.Role == wire.RoleAgent {
			c.afterRoster(answer)
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

// refusesHello returns why a hello is refused, or "". The other entries learn of an agent before it is welcomed and can
// get a start, so that they ask it if this entry is lost.
func (c *control) refusesHello(hello *wire.Hello) string {
	switch {
	case hello.ID == "":
		return "the hello has no id"
	case hello.Role == wire.RoleAgent:
		refused := c.refusesAgent(hello)
		if refused == "" {
			ref := table.AgentRef{ID: hello.ID, Incarnation: hello.Incarnation}
			c.perform(c.table.AgentConnected(c.now, ref, hello.StartedAt))
		}
		return refused
	case hello.Role != wire.RoleEntry:
		return "the role is not known"
	}
	return ""
}

func (c *control) welcome(hello *wire.Hello, refused string) *wire.Welcome {
	list := c.list
	w := &wire.Welcome{
		ID: c.options.ID, Incarnation: c.incarnation, DataCentre: c.options.DataCentre, Region: c.options.Region,
		HeartbeatMillis: uint32(c.heartbeat().Milliseconds()), List: &list, Refused: refused,
	}
	if hello.Role == wire.RoleEntry {
		w.DocumentRevisions = c.documents.Revisions()
	}
	return w
}

func (e *Entry) linkOptions() link.Options {
	return link.Options{Clock: e.options.Clock, Stats: &e.linkStats, State: &e.versions}
}

// attach starts a link whose handshake is done. The control goroutine takes it into use before its first message.
func (e *Entry) attach(l *link.Link, list *wire.EntryList) {
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

// linkHandler passes the events of a link to the control goroutine.
type linkHandler struct {
	entry *Entry
	agent bool
}

// OnMessage implements link.Handler.
func (h *linkHandler) OnMessage(l *link.Link, m wire.Message) {
	h.entry.post(func(c *control) {
		if h.agent {
			c.agentMessage(l, m)
		} else {
			c.peerMessage(l, m)
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

// dialPeer keeps a link to the entry at the address until the context ends. The entry with the lower id dials, so that two
// entries have one link.
func (e *Entry) dialPeer(ctx context.Context, address string) {
	var backoff link.Backoff
	for ctx.Err() == nil {
		started := e.options.Clock.Now()
		if l := e.dialOnce(ctx, address); l != nil {
			select {
			case <-l.Done():
			case <-ctx.Done():
				return
			}
		}
		const stableLink = 5 * time.Second
		if e.options.Clock.Now().Sub(started) > stableLink {
			backoff.Reset()
		}
		e.sleep(ctx, backoff.Next())
	}
}

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
	e.attach(l, welcome.List)
	return l
}

func (e *Entry) sleep(ctx context.Context, d time.Duration) {
	timer := e.options.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C():
	}
}
