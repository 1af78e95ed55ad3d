package evacuation_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/coltsfootspur/coltsfootspur/internal/evacuation"
)

const (
	tick              = 10 * time.Millisecond
	heartbeatInterval = 100 * time.Millisecond
	// bound is the time after a change within which the last start happens (Bounds.EvacuateMs).
	bound = 5 * time.Second
	// maxRejection is the longest time for which the store rejects all entries at once.
	maxRejection = time.Second
	// length is the simulated time. The last change is made earlier than settled before its end.
	length, settled = 25 * time.Second, bound + maxRejection
)

var (
	epoch   = time.Unix(1000, 0)
	entries = []string{"entry-0", "entry-1", "entry-2"}
	agents  = []string{"agent-0", "agent-1", "agent-2", "agent-3"}
)

func isAgent(name string) bool { return name[0] == 'a' }

// dataCentre returns a or b, the data centre of an agent.
func dataCentre(agent string) string { return string('a' + (agent[len(agent)-1]-'0')%2) }

// peersOf returns the processes that a process has links to.
func peersOf(name string) []string {
	if isAgent(name) {
		return entries
	}
	return agents
}

// process is an entry or an agent.
type process struct {
	tracker       evacuation.Tracker
	peers         map[string]*evacuation.Peer
	changedAt     time.Time
	readAt        time.Time // when an entry last read the store
	rejectedUntil time.Time // until when the store rejects an entry
}

// message is a state, an offer, or else a heartbeat.
type message struct {
	from, to string
	at       time.Time
	state    *evacuation.State
	offer    bool
	revision uint64
}

// simulation runs entries and agents over links that delay, duplicate, reorder and lose messages.
type simulation struct {
	*rapid.T
	now       time.Time
	processes map[string]*process
	messages  []message
	history   []evacuation.State   // of the store, by revision
	changedAt map[string]time.Time // by data centre: when its request was last written or deleted
	lastStart map[string]time.Time // by agent
	// nextChange and nextEvent are when the next request is written or deleted and when the next other event happens.
	nextChange, nextEvent time.Time
}

// restart replaces a process by one that knows nothing, with new links.
func (s *simulation) restart(name string) {
	p := &process{peers: make(map[string]*evacuation.Peer)}
	if old := s.processes[name]; old != nil {
		p.rejectedUntil = old.rejectedUntil
	}
	s.processes[name] = p
	for _, other := range peersOf(name) {
		s.linkUp(name, other)
		s.linkUp(other, name)
	}
}

func (s *simulation) linkUp(from, to string) {
	if p := s.processes[from]; p != nil {
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
	before := p.tracker.State().Revision
	if change := p.tracker.Apply(s.now, state); !change.IsEmpty() {
		p.changedAt = s.now
	}
	if after := p.tracker.State().Revision; after < before {
		s.Fatalf("%s returned from revision %d to %d", name, before, after)
	}
}

func (s *simulation) deliver(m message) {
	p, name := s.processes[m.to], dataCentre(m.to)
	switch {
	case m.offer && !p.tracker.State().Includes(name):
		s.lastStart[m.to] = s.now
		if late := s.now.Sub(s.changedAt[name]); s.history[len(s.history)-1].Includes(name) && late > bound {
			s.Fatalf("%s starts a task %v after the request", m.to, late)
		}
	case m.offer:
	case m.state != nil:
		p.peers[m.from].HeardState(*m.state)
		s.apply(m.to, *m.state)
		s.send(message{from: m.to, to: m.from, revision: p.tracker.State().Revision})
	default:
		p.peers[m.from].HeardRevision(m.revision)
	}
}

// toggle writes or deletes the request for a data centre.
func (s *simulation) toggle(name string) {
	last := s.history[len(s.history)-1]
	names := slices.DeleteFunc(slices.Clone(last.DataCentres), func(other string) bool { return other == name })
	if !last.Includes(name) {
		names = append(names, name)
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

// change makes the changes and faults that are due.
func (s *simulation) change() {
	if !s.now.Before(s.nextChange) {
		s.nextChange = s.now.Add(time.Duration(rapid.IntRange(10, 900).Draw(s.T, "ticks to the next change")) * tick)
		s.toggle(rapid.SampledFrom([]string{"a", "b"}).Draw(s.T, "data centre"))
	}
	if s.now.Before(s.nextEvent) {
		return
	}
	s.nextEvent = s.now.Add(time.Duration(rapid.IntRange(10, 300).Draw(s.T, "ticks to the next event")) * tick)
	rejectedFor, rejected := maxRejection, entries
	switch rapid.IntRange(0, 4).Draw(s.T, "event") {
	case 0:
		s.restart(rapid.SampledFrom(entries).Draw(s.T, "entry"))
		return
	case 1:
		s.restart(rapid.SampledFrom(agents).Draw(s.T, "agent"))
		return
	case 2:
		s.linkUp(agents[0], entries[0])
		s.linkUp(entries[0], agents[0])
		return
	case 3: // the store rejects two entries to the end
		rejectedFor, rejected = length, entries[1:]
	}
	for _, name := range rejected {
		s.processes[name].rejectedUntil = s.now.Add(rejectedFor)
	}
}

func (s *simulation) step() {
	due := s.messages
	s.messages = nil
	for _, m := range due {
		if m.at.After(s.now) {
			s.messages = append(s.messages, m)
		} else {
			s.deliver(m)
		}
	}
	for _, name := range entries {
		s.readStore(name)
	}
	for _, name := range slices.Concat(entries, agents) {
		p := s.processes[name]
		for _, other := range peersOf(name) {
			if !isAgent(name) || s.now.Sub(p.changedAt) >= evacuation.RelayDelay {
				s.sendDue(name, other)
			}
			if s.now.Sub(epoch)%heartbeatInterval != 0 {
				continue
			}
			s.send(message{from: name, to: other, revision: p.tracker.State().Revision})
			if !isAgent(name) && p.tracker.State().Revision > 0 && !p.tracker.State().Includes(dataCentre(other)) {
				s.send(message{from: name, to: other, offer: true})
			}
		}
	}
	s.now = s.now.Add(tick)
}

// Guards against a start in an evacuated data centre later than the bound, and against a data centre that stays without work
// after the end of its evacuation, whatever happens to messages, entries, agents and the store's answers.
func TestEvacuationsTakeEffectAndEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{
			T: t, now: epoch, processes: make(map[string]*process), changedAt: make(map[string]time.Time), lastStart: make(map[string]time.Time),
			history: []evacuation.State{evacuation.NewState(1, nil)},
		}
		for _, name := range slices.Concat(entries, agents) {
			s.restart(name)
		}
		for s.now.Sub(epoch) < length {
			if s.now.Sub(epoch) < length-settled {
				s.change()
			}
			s.step()
		}
		final := s.history[len(s.history)-1]
		for _, agent := range agents {
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
