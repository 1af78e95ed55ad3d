package clock

import (
	"sync"
	"time"
)

// Fake is a Clock for tests whose time moves only when Advance is called.
type Fake struct {
	mu     sync.Mutex
	now    time.Time
	timers map[*fakeTimer]struct{}
}

// NewFake returns a fake clock that is set to the given time.
func NewFake(now time.Time) *Fake {
	return &Fake{now: now, timers: make(map[*fakeTimer]struct{})}
}

// Now implements Clock.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// NewTimer implements Clock.
func (f *Fake) NewTimer(d time.Duration) Timer {
	t := &fakeTimer{clock: f, c: make(chan time.Time, 1)}
	t.Reset(d)
	return t
}

// Advance moves the time forward and fires every timer that has expired by then, in no particular order.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	for t := range f.timers {
		if !t.expiry.After(f.now) {
			delete(f.timers, t)
			t.c <- f.now
		}
	}
}

type fakeTimer struct {
	clock  *Fake
	c      chan time.Time
	expiry time.Time
}

func (t *fakeTimer) C() <-chan time.Time { return t.c }

func (t *fakeTimer) Stop() bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	_, pending := t.clock.timers[t]
	delete(t.clock.timers, t)
	return pending
}

func (t *fakeTimer) Reset(d time.Duration) {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	select {
	case <-t.c:
	default:
	}
	t.expiry = t.clock.now.Add(d)
	if d <= 0 {
		t.c <- t.clock.now
		return
	}
	t.clock.timers[t] = struct{}{}
}
