package consul

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Values of Faults.Down: what the store does with each call while it is down.
const (
	// DownClose closes each connection without an answer.
	DownClose = "close"
	// DownError answers status 500, as a server without a leader does.
	DownError = "error"
	// DownHang does not answer. It closes the connection when the faults change.
	DownHang = "hang"
)

// ErrInvalidFault is returned for a field of Faults with a value that is not allowed.
var ErrInvalidFault = eris.New("invalid fault of the stand-in store")

// Faults are the faults that the server injects. The zero value is a healthy store.
type Faults struct {
	// Down is empty or one of the constants DownClose, DownError and DownHang. Nothing is read or written while it is set.
	Down string `json:"down,omitempty"`
	// DelayMillis delays each call before it takes effect. A write takes effect even if its client gives up meanwhile.
	DelayMillis int `json:"delay_ms,omitempty"`
	// LoseAnswers is the number of writes that take effect and get no answer; -1 means every write.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// DropWrites is the number of writes that take no effect and get no answer; -1 means every write. These writes come
	// before those of LoseAnswers.
	DropWrites int `json:"drop_writes,omitempty"`
}

func (f Faults) validate() error {
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

// faultSwitch holds the active faults and ends hanging calls when they change.
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

// get returns the faults and a channel that is closed when they change.
func (s *faultSwitch) get() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.changed
}

// takeDrop reports whether the current write is dropped, and uses up one of DropWrites.
func (s *faultSwitch) takeDrop() bool { return s.take(func(f *Faults) *int { return &f.DropWrites }) }

// takeLoss reports whether the answer to the current write is lost, and uses up one of LoseAnswers.
func (s *faultSwitch) takeLoss() bool { return s.take(func(f *Faults) *int { return &f.LoseAnswers }) }

// take decrements a counter that is above 0. It reports whether the counter was above 0 or unlimited (-1).
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

// apply delays or fails a call according to the faults. It returns true if the call goes on, and false if an error was sent
// as the answer. To close the connection it panics with http.ErrAbortHandler, on which net/http does so.
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
