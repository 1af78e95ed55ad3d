package evacuation_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/coltsfootspur/coltsfootspur/internal/evacuation"
)

const (
	tick              = 10 * time.Millisecond
	heartbeatInterval = 100 * time.Millisecond
	// bound is the time after a change within which the last start happens and starts resume (Bounds.EvacuateMs).
	bound = 5 * time.Second
	// maxRejection is the longest time for which the store rejects all entries at once.
	maxRejection = time.Second
	// length is the simulated time. Changes are made until settled before its end.
	length, settled = 25 * time.Second, bound + maxRejection
)

var epoch = time.Unix(1000, 0)

// process is an entry or an agent.
type process struct {
	tracker   evacuation.Tracker
	peers     map[string]*evacuation.Peer
	changedAt time.Time
	// isAgent delays messages by evacuation.RelayDelay; rejectedUntil is the end of the time for which the store rejects an entry.
	isAgent       bool
	rejectedUntil time.Time
	readAt        time.Time
}

// message is a state, or a heartbeat if state is nil, or an offer.
type message struct {
	from, to string
	at       time.Time
	state    *evacuation.State
	revision uint64
	offer    bool
}

// simulation runs entries and agents of two data centres over links that delay, duplicate, reorder and lose messages.
type simulation struct {
	*rapid.T
	now             time.Time
	processes       map[string]*process
	entries, agents []string
	messages        []message
	// history holds the states of the store, one for each revision.
	history []evacuation.State
	// changedAt is when the request for a data centre was last written or deleted.
	changedAt map[string]time.Time
	lastStart map[string]time.Time // by agent
	// nextChange and nextEvent are when the next request is written or deleted and when the next other event happens.
	nextChange, nextEvent time.Time
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		T: t, now: epoch, processes: make(map[string]*process), changedAt: make(map[string]time.Time), lastStart: make(map[string]time.Time),
		history: []evacuation.State{evacuation.NewState(1, nil)},
	}
	for i := range 3 {
		s.entries = append(s.entries, fmt.Sprint("entry-", i))
	}
	for i := range 4 {
		s.agents = append(s.agents, fmt.Sprint("agent-", i))
	}
	for _, name := range append(append([]string{}, s.entries...), s.agents...) {
		s.restart(name)
	}
	return s
}

func dataCentre(agent string) string { return string('a' + (agent[len(agent)-1]-'0')%2) }

func (s *simulation) restart(name string) {
	old := s.processes[name]
	p := &process{peers: make(map[string]*evacuation.Peer), isAgent: name[0] == 'a'}
	if old != nil {
		p.rejectedUntil = old.rejectedUntil
	}
	s.processes[name] = p
	others := s.entries
	if !p.isAgent {
		others = s.agents
	}
	for _, other := range others {
		s.linkUp(name, other)
		s.linkUp(other, name)
	}
}

func (s *simulation) linkUp(from, to string) {
	if p := s.processes[from]; p != nil && s.processes[to] != nil {
		p.peers[to] = &evacuation.Peer{}
		s.sendDue(from, to)
	}
}

func (s *simulation) sendDue(from, to string) {
	p, own := s.processes[from], s.processes[from].tracker.State()
	if p.peers[to].Due(s.now, own) {
		p.peers[to].RecordSent(s.now, own)
		s.send(message{from: from, to: to, state: &own})
	}
}

func (s *simulation) send(m message) {
	for range rapid.SampledFrom([]int{0, 1, 1, 1, 2}).Draw(s.T, "copies") {
		m.at = s.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(s.T, "delay")) * tick)
		s.messages = append(s.messages, m)
	}
}

func (s *simulation) apply(name string, state evacuation.State) {
	p := s.processes[name]
	before := p.tracker.State()
	if change := p.tracker.Apply(s.now, state); !change.IsEmpty() {
		p.changedAt = s.now
	}
	if p.tracker.State().Revision < before.Revision {
		s.Fatalf("%s returned from revision %d to %d", name, before.Revision, p.tracker.State().Revision)
	}
}

func (s *simulation) deliver(m message) {
	p := s.processes[m.to]
	switch {
	case m.offer && !p.tracker.State().Includes(dataCentre(m.to)):
		s.lastStart[m.to] = s.now
		s.checkStart(m.to)
	case m.offer:
	case m.state != nil:
		p.peers[m.from].HeardState(*m.state)
		s.apply(m.to, *m.state)
		s.send(message{from: m.to, to: m.from, revision: p.tracker.State().Revision})
	default:
		p.peers[m.from].HeardRevision(m.revision)
	}
}

func (s *simulation) checkStart(agent string) {
	name := dataCentre(agent)
	if s.history[len(s.history)-1].Includes(name) && s.now.Sub(s.changedAt[name]) > bound {
		s.Fatalf("%s starts a task %v after the request", agent, s.now.Sub(s.changedAt[name]))
	}
}

func (s *simulation) toggle(name string) {
	last := s.history[len(s.history)-1]
	names := []string{name}
	for _, other := range last.DataCentres {
		if other != name {
			names = append(names, other)
		}
	}
	if last.Includes(name) {
		names = names[1:]
	}
	s.history = append(s.history, evacuation.NewState(last.Revision+1, names))
	s.changedAt[name] = s.now
}

// readStore lets an entry read the store, at times an older state.
func (s *simulation) readStore(name string) {
	p := s.processes[name]
	if s.now.Before(p.rejectedUntil) || s.now.Sub(p.readAt) < heartbeatInterval {
		return
	}
	p.readAt = s.now
	age := rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(s.T, "age of the read")
	s.apply(name, s.history[max(len(s.history)-1-age, 0)])
}

func (s *simulation) step(mayChange bool) {
	if mayChange && !s.now.Before(s.nextChange) {
		s.nextChange = s.now.Add(time.Duration(rapid.IntRange(10, 900).Draw(s.T, "ticks to the next change")) * tick)
		s.toggle(rapid.SampledFrom([]string{"a", "b"}).Draw(s.T, "data centre"))
	}
	if mayChange && !s.now.Before(s.nextEvent) {
		s.nextEvent = s.now.Add(time.Duration(rapid.IntRange(10, 300).Draw(s.T, "ticks to the next event")) * tick)
		switch rapid.IntRange(2, 6).Draw(s.T, "event") {
		case 2:
			s.restart(rapid.SampledFrom(s.entries).Draw(s.T, "entry"))
		case 3:
			s.restart(rapid.SampledFrom(s.agents).Draw(s.T, "agent"))
		case 4: // the store rejects two entries for long
			for _, name := range s.entries[1:] {
				s.processes[name].rejectedUntil = s.now.Add(length)
			}
		case 5: // the store rejects all
			for _, name := range s.entries {
				s.processes[name].rejectedUntil = s.now.Add(maxRejection)
			}
		case 6:
			s.linkUp(s.agents[0], s.entries[0])
			s.linkUp(s.entries[0], s.agents[0])
		}
	}
	due := s.messages
	s.messages = nil
	for _, m := range due {
		if m.at.After(s.now) {
			s.messages = append(s.messages, m)
		} else {
			s.deliver(m)
		}
	}
	for _, name := range s.entries {
		s.readStore(name)
	}
	isBeat := s.now.Sub(epoch)%heartbeatInterval == 0
	for _, name := range append(append([]string{}, s.entries...), s.agents...) {
		s.stepProcess(name, isBeat)
	}
	s.now = s.now.Add(tick)
}

func (s *simulation) stepProcess(name string, isBeat bool) {
	p := s.processes[name]
	others := s.entries
	if !p.isAgent {
		others = s.agents
	}
	for _, other := range others {
		if !p.isAgent || s.now.Sub(p.changedAt) >= evacuation.RelayDelay {
			s.sendDue(name, other)
		}
		if !isBeat {
			continue
		}
		s.send(message{from: name, to: other, revision: p.tracker.State().Revision})
		if !p.isAgent && p.tracker.State().Revision > 0 && !p.tracker.State().Includes(dataCentre(other)) {
			s.send(message{from: name, to: other, offer: true})
		}
	}
}

// Guards against a start in an evacuated data centre later than the bound, and against a data centre that stays without work
// after the end of its evacuation, whatever happens to messages, entries, agents and the store's answers.
func TestEvacuationsTakeEffectAndEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for s.now.Sub(epoch) < length {
			s.step(s.now.Sub(epoch) < length-settled)
		}
		final := s.history[len(s.history)-1]
		for _, agent := range s.agents {
			if silent := s.now.Sub(s.lastStart[agent]); !final.Includes(dataCentre(agent)) && silent > time.Second {
				t.Fatalf("%s starts nothing for %v although its data centre is not evacuated", agent, silent)
			}
		}
		for name, p := range s.processes {
			if !p.tracker.State().SameSet(final) {
				t.Fatalf("%s holds %v, the store %v", name, p.tracker.State(), final)
			}
		}
	})
}
