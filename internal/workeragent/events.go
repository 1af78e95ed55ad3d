package workeragent

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/runs"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// event is something that the control goroutine takes.
type event interface {
	apply(c *control, now time.Time)
}

type (
	// workerAnnounced is an announcement of the worker.
	workerAnnounced struct {
		info    runs.Info
		applied chan<- struct{}
	}
	// workerDeparted tells that the worker has ended as planned.
	workerDeparted struct{ id string }
	// linkUp is an established link, with the time at which the handshake began.
	linkUp struct {
		link    *link.Link
		dialled time.Time
	}
	// linkDown is a closed link.
	linkDown struct {
		link  *link.Link
		cause error
	}
	// received is a message on a link. The time is that of the arrival.
	received struct {
		link    *link.Link
		message wire.Message
		at      time.Time
	}
	// addressesReceived are link addresses of entries.
	addressesReceived struct{ addresses []string }
	// diallerEnded tells that an address was not reached for long and is dropped.
	diallerEnded struct{ address string }
	// startAnswered is the end of a call that starts a run.
	startAnswered struct {
		ref   runs.Ref
		clock time.Duration
		sent  time.Time
		err   error
	}
	// stopAnswered is the end of a call that stops a run.
	stopAnswered struct {
		ref runs.Ref
		err error
	}
	// pollAnswered is the end of a call that lists the runs.
	pollAnswered struct {
		number   uint64
		snapshot runs.Look
		sent     time.Time
		err      error
	}
	// stopRequested begins the graceful shutdown.
	stopRequested struct{ drained chan<- struct{} }
)
