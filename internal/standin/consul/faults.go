package consul

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Ways in which the store is down.
const (
	// DownClose closes each connection without an answer.
	DownClose = "close"
	// DownError answers status 500, as a server without a leader does.
	DownError = "error"
	// DownHang never answers.
	DownHang = "hang"
)

// ErrInvalidFault is returned for a fault that does not exist.
var ErrInvalidFault = eris.New("invalid fault of the stand-in store")

// Faults are the faults in force. The zero value is a healthy store.
type Faults struct {
	// Down is empty or one of the Down constants. Nothing is read or written while it is set.
	Down string `json:"down,omitempty"`
	// DelayMillis delays each call before it takes effect. A write takes effect even if its client gave up meanwhile.
	DelayMillis int `json:"delay_ms,omitempty"`
	// LoseAnswers is the number of writes that take effect and get no answer; -1 means every write.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// DropWrites is the number of writes that get neither effect nor answer; -1 means every write. It is used up
	// before LoseAnswers.
	DropWrites int `json:"drop_writes,omitempty"`
}

func (f Faults) check() error {
	switch f.Down {
	case "", DownClose, DownError, DownHang:
	default:
		return eris.Wrapf(ErrInvalidFault, "down %q; allowed: empty, close, error, hang", f.Down)
	}
	if f.DelayMillis < 0 || f.LoseAnswers < -1 || f.DropWrites < -1 {
		return eris.Wrap(ErrInvalidFault, "delay_ms is at least 0, lose_answers and drop_writes are at least -1")
	}
	return nil
}

// faultSwitch holds the faults and ends hanging calls when they change.
type faultSwitch struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
}

func newFaultSwitch() *faultSwitch { return &faultSwitch{changed: make(chan struct{})} }

func (s *faultSwitch) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *faultSwitch) get() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.changed
}

// takeDrop reports whether the current write is dropped, and takeLoss whether its answer is lost.
func (s *faultSwitch) takeDrop() bool { return s.take(func(f *Faults) *int { return &f.DropWrites }) }

func (s *faultSwitch) takeLoss() bool { return s.take(func(f *Faults) *int { return &f.LoseAnswers }) }

func (s *faultSwitch) take(counter func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := counter(&s.faults)
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}

// apply lets a call pass, delays it or ends it. It returns false if it sent an answer. It ends the connection by a
// panic with http.ErrAbortHandler, which net/http takes as a request to do so.
func (s *faultSwitch) apply(ctx context.Context, w http.ResponseWriter) bool {
	f, changed := s.get()
	switch f.Down {
	case DownClose:
		panic(http.ErrAbortHandler)
	case DownError:
		http.Error(w, "No cluster leader", http.StatusInternalServerError)
		return false
	case DownHang:
		select {
		case <-ctx.Done():
		case <-changed:
		}
		panic(http.ErrAbortHandler)
	}
	if f.DelayMillis > 0 {
		time.Sleep(time.Duration(f.DelayMillis) * time.Millisecond)
	}
	return true
}
