package workeragent

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Times of dialling.
const (
	// minRedialDelay and maxRedialDelay bound the pause between two attempts. An entry serves nothing before agents have reached it,
	// so that the pause adds to each of its restarts.
	minRedialDelay = 20 * time.Millisecond
	maxRedialDelay = 50 * time.Millisecond
	// unreachableRedialDelay is the pause for an address that was not reached for fastRedialPeriod.
	unreachableRedialDelay = 200 * time.Millisecond
	fastRedialPeriod       = 5 * time.Second
	// dialTimeout bounds connecting and the handshake.
	dialTimeout = 500 * time.Millisecond
	// addressExpiry is how long an address is dialled in vain before it is dropped. A replaced host does not come back at
	// its address; a partition can last for tens of seconds.
	addressExpiry = 30 * time.Second
	// discoverInterval is the interval of reads from the store while no entry is linked.
	discoverInterval = 400 * time.Millisecond
)

// diallerSet keeps one dialler for each known address of an entry.
type diallerSet struct {
	agent      *Agent
	ctx        context.Context
	cancel     context.CancelFunc
	dialled    map[string]bool
	configured map[string]bool // addresses of the settings are never dropped
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

// maintainLink holds a link to the entry at an address until the context ends or the address was not reached for long.
func (s *diallerSet) maintainLink(address string, fixed bool) {
	reached, delay := time.Now(), minRedialDelay
	for s.ctx.Err() == nil {
		if s.holdLink(address) {
			reached, delay = time.Now(), minRedialDelay
		}
		if !fixed && time.Since(reached) > addressExpiry {
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

// holdLink dials once and, when that succeeds, waits until the link is closed. It returns whether a link was open.
func (s *diallerSet) holdLink(address string) bool {
	ctx, cancel := context.WithTimeout(s.ctx, dialTimeout)
	defer cancel()
	dialled := s.agent.options.Clock.Now()
	options := link.Options{Clock: s.agent.options.Clock, Stats: s.agent.stats}
	l, _, err := link.Dial(ctx, s.agent.options.Dialer, address, s.agent.hello(false), options)
	if err != nil {
		s.agent.options.Log.WithFields(log.Fields{"address": address, "error": err.Error()}).Debug("agent: entry not reached")
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

// discover reads the addresses of entries from the store at the start, because the settings name some at most, and again
// while no link is open.
func (s *diallerSet) discover() {
	loadedOnce := false
	for s.ctx.Err() == nil {
		if !loadedOnce || s.agent.options.Metrics.Links.Load() == 0 {
			addresses, err := s.agent.options.Discover(s.ctx)
			if err != nil {
				s.agent.options.Log.WithFields(log.Fields{"error": err.Error()}).Warn("agent: entries cannot be read from the store")
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
