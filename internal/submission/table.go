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
	// receivedList is the list as received; effectiveList is the same list with its stop notices applied.
	receivedList, effectiveList *wire.EntryList
	// ownedLists are the lists that this entry has adopted, starting with the one under which its last recovery was
	// complete. A key whose home it is under all of them cannot have been started elsewhere.
	ownedLists []*wire.EntryList
	store      store
	pointers   pointers
	recovered  recoveredKeys
	roster     roster
	round      recoveryRound
	assignment keyAssignment
	handover   handover
	// lateRecords counts records received for keys that already run here.
	lateRecords int
	// epoch counts the incarnations of this entry.
	epoch uint8
}

// New returns the table of an entry without a list of entries. It uses the id, incarnation and region of self.
func New(cfg Config, self wire.Member) *Table {
	cfg = cfg.withDefaults()
	t := &Table{cfg: cfg, self: self, store: newStore(cfg.MaxAnswerBytes)}
	t.pointers.init()
	t.recovered.init()
	t.roster.init(cfg)
	return t
}

// Rejoin sets a new incarnation after the entry was expelled. Finished submissions are kept.
func (t *Table) Rejoin(incarnation uint64) {
	t.roster.markRosterMerged(t.self.Incarnation)
	t.self.Incarnation = incarnation
	t.ownedLists = nil
	t.epoch++
}

// MayStart reports whether tasks of a running job may be started. It returns false after the incarnation that accepted
// the job was expelled. Call it before each Start of a keyed job.
func (t *Table) MayStart(job Job) bool {
	e := t.store.runningEntry(job)
	return e != nil && e.epoch == t.epoch && t.IsMember()
}

// List returns the list in use, to which the stop notices in its Stopped field are not applied; nil before the first
// list. The caller must not modify it.
func (t *Table) List() *wire.EntryList { return t.receivedList }

// Home returns the home of a key under the list in use; false if there is none.
func (t *Table) Home(region string, key wire.KeyHash) (wire.Member, bool) {
	return placement.Home(t.effectiveList, region, key)
}

// IsMember reports whether this incarnation is in the list. While it is not, no keyed job may be started.
func (t *Table) IsMember() bool {
	_, ok := placement.Find(t.effectiveList, t.self.ID, t.self.Incarnation)
	return ok
}

// Stats holds the current sizes of a Table. AnswerBytes is in bytes, the other fields are counts.
type Stats struct {
	Entries, Running, AnswerBytes, Pointers, Recovered, Agents int
	// PendingMembers and PendingAgents count the peers whose answers are missing after a change of the list.
	PendingMembers, PendingAgents int
	// LateRecords counts records of keys that already run here. It stays 0 unless no member knew of the agent.
	LateRecords int
}

// Stats returns the current sizes.
func (t *Table) Stats(now time.Time) Stats {
	return Stats{
		Entries:        len(t.store.index),
		Running:        t.store.running,
		AnswerBytes:    t.store.answerBytes,
		Pointers:       len(t.pointers.first),
		Recovered:      len(t.recovered.keys),
		Agents:         len(t.roster.agents),
		PendingMembers: len(t.round.pendingMembers),
		PendingAgents:  t.pendingAgents(now),
		LateRecords:    t.lateRecords,
	}
}

// RunningJobs returns the running submissions in no particular order. After an expulsion the caller completes those that
// have tasks that were not started.
func (t *Table) RunningJobs() []Job {
	jobs := make([]Job, 0, t.store.running)
	for _, slot := range t.store.index {
		if e := t.store.at(slot); e.state == stateRunning {
			jobs = append(jobs, Job(e.jobOrExpiry))
		}
	}
	return jobs
}

func (t *Table) expire(now time.Time) {
	t.store.expire(now)
	t.pointers.expire(now)
	t.recovered.expire(now)
}
