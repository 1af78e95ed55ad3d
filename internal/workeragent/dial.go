package workeragent

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Timing of dialling.
const (
	// minRedialDelay and maxRedialDelay bound the delay between two attempts, before a jitter of 50%. They are short because an
	// entry serves nothing until agents have linked to it, so the delay adds to each restart of an entry.
	minRedialDelay = 20 * time.Millisecond
	maxRedialDelay = 50 * time.Millisecond
	// unreachableRedialDelay is the delay for an address that was not reached for fastRedialPeriod.
	unreachableRedialDelay = 200 * time.Millisecond
	fastRedialPeriod       = 5 * time.Second
	// dialTimeout bounds connecting and the handshake together.
	dialTimeout = 500 * time.Millisecond
	// addressExpiry is how long an unreachable address is dialled before it is dropped. A replaced host does not return at
	// its old address, while a partition can last for tens of seconds.
	addressExpiry = 30 * time.Second
	// discoverInterval is the interval of reads from the store while no link is open.
	discoverInterval = 400 * time.Millisecond
)

// diallerSet runs one dialler for each known link address of an entry.
type diallerSet struct {
	agent      *Agent
	ctx        context.Context
	cancel     context.CancelFunc
	dialled    map[string]bool
	configured map[string]bool // addresses from the settings, which are never dropped
}

func newDiallerSet(a *Agent) *diallerSet {
	s := &diallerSet{agent: a, dialled: make(map[string]bool), configured: make(map[string]bool)}
	for _, address := range a.options.Entries {
		s.configured[address] = true
	}
	return s
}

func (s *diallerSet) start(ctx context.Context) {
	s.ctx, s.cancel = context.WithCancel(ctx)
	if s.agent.options.Discover != nil {
		go s.discover()
	}
}

func (s *diallerSet) close() { s.cancel() }

func (s *diallerSet) add(addresses []string) {
	for _, address := range addresses {
		if !s.dialled[address] {
			s.dialled[address] = true
			go s.maintainLink(address, s.configured[address])
		}
	}
}

func (s *diallerSet) remove(address string) { delete(s.dialled, address) }

// maintainLink keeps a link open to the entry at an address, until the context ends or the address has expired.
func (s *diallerSet) maintainLink(address string, configured bool) {
	reached, delay := time.Now(), minRedialDelay
	for s.ctx.Err() == nil {
		if s.holdLink(address) {
			reached, delay = time.Now(), minRedialDelay
		}
		if !configured && time.Since(reached) > addressExpiry {
			break
		}
		jittered := delay/2 + rand.N(delay)
		select {
		case <-s.ctx.Done():
		case <-time.After(jittered):
		}
		delay = min(2*delay, maxRedialDelay)
		if time.Since(reached) > fastRedialPeriod {
			delay = unreachableRedialDelay
		}
	}
	s.agent.post(diallerEnded{address: address})
}

// holdLink dials once and, if that succeeds, waits until the link is closed. It returns whether a link was opened.
func (s *diallerSet) holdLink(address string) bool {
	ctx, cancel := context.WithTimeout(s.ctx, dialTimeout)
	defer cancel()
	dialled := s.agent.options.Clock.Now()
	options := link.Options{Clock: s.agent.options.Clock, Stats: s.agent.stats}
	l, _, err := link.Dial(ctx, s.agent.options.Dialer, address, s.agent.hello(false), options)
	if err != nil {
		s.agent.options.Log.WithFields(log.Fields{"address": address, "error": err.Error()}).Debug("agent: cannot open a link to an entry, will retry")
		return false
	}
	if !s.agent.post(linkUp{link: l, dialled: dialled}) {
		l.Close(link.ErrClosed)
		return true
	}
	l.Start(handler{s.agent})
	select {
	case <-l.Done():
	case <-s.ctx.Done():
		l.Close(link.ErrClosed)
	}
	return true
}

// discover reads the addresses of entries from the store at the start, because the settings name only some of them, and
// again while no link is open.
func (s *diallerSet) discover() {
	loadedOnce := false
	for s.ctx.Err() == nil {
		if !loadedOnce || s.agent.options.Metrics.Links.Load() == 0 {
			addresses, err := s.agent.options.Discover(s.ctx)
			if err != nil {
				s.agent.options.Log.WithFields(log.Fields{"error": err.Error()}).
					Warn("agent: cannot read the addresses of entries from the store, will retry")
			} else {
				loadedOnce = true
				s.agent.post(addressesReceived{addresses: addresses})
			}
		}
		select {
		case <-s.ctx.Done():
		case <-time.After(discoverInterval):
		}
	}
}

// handler passes the events of a link to the control goroutine.
type handler struct{ agent *Agent }

// OnMessage implements link.Handler.
func (h handler) OnMessage(l *link.Link, m wire.Message) {
	h.agent.post(received{link: l, message: m, at: h.agent.options.Clock.Now()})
}

// OnClose implements link.Handler.
func (h handler) OnClose(l *link.Link, cause error) { h.agent.post(linkDown{link: l, cause: cause}) }
