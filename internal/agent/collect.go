package agent

import (
	"context"
	"errors"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// collectReceived is the event of a request for the start records of an expelled entry.
type collectReceived struct {
	link       *link.Link
	message    *wire.Collect
	receivedAt time.Time
}

func (e collectReceived) apply(c *control) {
	if e.message.List == nil {
		return
	}
	c.adoptList(e.message.List)
	peer := e.link.Peer().Hello
	parts, newer := c.records.Collect(e.receivedAt, e.message, peer.ID, peer.Incarnation)
	if newer != nil {
		_ = e.link.Send(newer)
		return
	}
	go sendRecordParts(c.callContext, e.link, parts)
}

// sendRecordParts sends the parts of an answer to Collect. Together they can exceed the queue of the link, so it waits
// until each part is written before it sends the next. If the link closes, the entry repeats its request on a new one.
func sendRecordParts(ctx context.Context, l *link.Link, parts []*wire.Records) {
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
