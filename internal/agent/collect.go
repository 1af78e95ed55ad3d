package agent

import (
	"context"
	"errors"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// collectReceived asks for the records of an expelled entry.
type collectReceived struct {
	link    *link.Link
	message *wire.Collect
	at      time.Time
}

func (e collectReceived) apply(c *control) {
	if e.message.List == nil {
		return
	}
	c.adopt(e.message.List)
	peer := e.link.Peer().Hello
	parts, newer := c.records.Collect(e.at, e.message, peer.ID, peer.Incarnation)
	if newer != nil {
		_ = e.link.Send(newer)
		return
	}
	go sendParts(c.calls, e.link, parts)
}

// sendParts sends the parts of an answer one after the other. All together can exceed what a link queues, so it waits
// for each part to be written. When the link closes, the entry asks again on the next one.
func sendParts(ctx context.Context, l *link.Link, parts []*wire.Records) {
	for _, part := range parts {
		err := l.Send(part)
		if errors.Is(err, link.ErrQueueFull) && l.Flush(ctx) == nil {
			err = l.Send(part)
		}
		if err != nil {
			return
		}
		if l.Flush(ctx) != nil {
			return
		}
	}
}
