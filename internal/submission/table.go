package submission

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Table is the table of submissions of one entry.
type Table struct {
	cfg  Config
	self wire.Member
	// received is the list as it came; list is what the statements of its members make of it.
	received, list *wire.EntryList
	// owned are lists that this entry adopted, from the last one under which its knowledge was complete. A key whose
	// home it is under all of them cannot have been started elsewhere.
	owned     []*wire.EntryList
	store     store
	pointers  pointers
	recovered recoveredKeys
	roster    roster
	round     round
	partition partition
	handover  handover
	// late counts records of keys that already run here.
	late int
	// epoch counts the incarnations of this entry.
	epoch uint8
}

// New returns the table of an entry; id, incarnation and region of self are used. It knows no list of entries.
func New(cfg Config, self wire.Member) *Table {
	cfg = cfg.withDefaults()
	t := &Table{cfg: cfg, self: self, store: newStore(cfg.MaxAnswerBytes)}
	t.pointers.init()
	t.recovered.init()
	t.roster.init(cfg)
	return t
}

// Rejoin gives the entry a new incarnation after it was expelled. What it knows about finished keys stays.
func (t *Table) Rejoin(incarnation uint64) {
	t.roster.hear(t.self.Incarnation)
	t.self.Incarnation = incarnation
	t.owned = nil
	t.epoch++
}

// MayStart tells whether tasks of a running job may be started: not after the incarnation that accepted it was
// expelled. Ask before each Start of a keyed job.
func (t *Table) MayStart(job Job) bool {
	e := t.store.job(job)
	return e != nil && e.epoch == t.epoch && t.IsMember()
}

// List returns the list in use, with the statements about its members apart; nil before the first. It must not be
// changed.
func (t *Table) List() *wire.EntryList { return t.received }

// Home returns the home of a key under the list in use.
func (t *Table) Home(region string, key wire.KeyHash) (wire.Member, bool) {
	return placement.Home(t.list, region, key)
}

// IsMember tells whether this incarnation is in the list. While it is not, no keyed job may be started.
func (t *Table) IsMember() bool {
	_, ok := placement.Find(t.list, t.self.ID, t.self.Incarnation)
	return ok
}

// Stats are the sizes of a Table.
type Stats struct {
	Entries, Running, AnswerBytes, Pointers, Recovered, Agents int
	// PendingMembers and PendingAgents are those whose answers are missing after a change of the list.
	PendingMembers, PendingAgents int
	// LateRecords counts records of keys that already run here; it is 0 unless an agent was hidden from all members.
	LateRecords int
}

// Stats returns the current sizes.
func (t *Table) Stats(now time.Time) Stats {
	return Stats{
		Entries:        len(t.store.index),
		Running:        t.store.running,
		AnswerBytes:    t.store.bytes,
		Pointers:       len(t.pointers.first),
		Recovered:      len(t.recovered.keys),
		Agents:         len(t.roster.agents),
		PendingMembers: len(t.round.members),
		PendingAgents:  t.pendingAgents(now),
		LateRecords:    t.late,
	}
}

// RunningJobs returns the running submissions in no particular order. After an expulsion the caller completes those
// that have tasks which were not started.
func (t *Table) RunningJobs() []Job {
	jobs := make([]Job, 0, t.store.running)
	for _, slot := range t.store.index {
		if e := t.store.at(slot); e.state == stateRunning {
			jobs = append(jobs, Job(e.number))
		}
	}
	return jobs
}

func (t *Table) expire(now time.Time) {
	t.store.expire(now)
	t.pointers.expire(now)
	t.recovered.expire(now)
}
