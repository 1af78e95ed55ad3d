package workeragent

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/runs"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// event is applied to the control state by the control goroutine.
type event interface {
	apply(c *control, now time.Time)
}

type (
	// workerAnnounced is an announcement of the worker; applied is closed once it was applied.
	workerAnnounced struct {
		announcement runs.Announcement
		applied      chan<- struct{}
	}
	// workerLeft means that the worker has announced its end.
	workerLeft struct{ id string }
	// linkUp is an established link; dialled is when its handshake began.
	linkUp struct {
		link    *link.Link
		dialled time.Time
	}
	// linkDown is a closed link.
	linkDown struct {
		link  *link.Link
		cause error
	}
	// received is a message on a link; at is the time of its arrival.
	received struct {
		link    *link.Link
		message wire.Message
		at      time.Time
	}
	// addressesReceived holds link addresses of entries.
	addressesReceived struct{ addresses []string }
	// diallerEnded means that an address has expired and its dialler has ended.
	diallerEnded struct{ address string }
	// startAnswered is the result of a call that starts a run.
	startAnswered struct {
		ref   runs.Ref
		clock time.Duration
		sent  time.Time
		err   error
	}
	// stopAnswered is the result of a call that stops a run.
	stopAnswered struct {
		ref runs.Ref
		err error
	}
	// pollAnswered is the result of a poll of the worker.
	pollAnswered struct {
		number   uint64
		snapshot runs.Snapshot
		sent     time.Time
		err      error
	}
	// stopRequested begins the graceful shutdown; drained is closed when no task waits or runs.
	stopRequested struct{ drained chan<- struct{} }
)
