package agent

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// attemptID identifies an attempt among the attempts of all homes.
type attemptID struct {
	home   home
	number uint64
}

// home is one incarnation of an entry.
type home struct {
	id          string
	incarnation uint64
}

// startRecords are the start records of the agent. The caller passes the current time.
type startRecords interface {
	// Admit records a start. It returns nil when the attempt may run, or the refusal, which it has recorded.
	Admit(now time.Time, id attemptID, start *wire.Start) *wire.Result
	// Running notes that the upstream is being called for the attempt.
	Running(id attemptID)
	// Finish records the result of an admitted attempt, also when it is a refusal.
	Finish(now time.Time, id attemptID, result *wire.Result)
	// Query returns the recorded result of an attempt, or its state when it has none. An attempt that was never seen is
	// recorded as refused.
	Query(now time.Time, id attemptID) (*wire.Result, wire.AttemptState)
	// Lookup returns the recorded result of an attempt.
	Lookup(id attemptID) (*wire.Result, bool)
	// Expire drops the records that are older than the retention window.
	Expire(now time.Time)
	// Len returns the number of records.
	Len() int
}

type taskID struct {
	key  wire.KeyHash
	task uint16
}

type plainRecord struct {
	at     time.Time
	task   taskID
	state  wire.AttemptState
	result *wire.Result
}

// plainRecords keeps the records in maps.
type plainRecords struct {
	retention time.Duration
	attempts  map[attemptID]*plainRecord
	tasks     map[taskID]*plainRecord
}

func newPlainRecords(retention time.Duration) *plainRecords {
	return &plainRecords{retention: retention, attempts: map[attemptID]*plainRecord{}, tasks: map[taskID]*plainRecord{}}
}

func (p *plainRecords) Admit(now time.Time, id attemptID, start *wire.Start) *wire.Result {
	task := taskID{start.Key, start.Task}
	if r := p.tasks[task]; r != nil {
		refusal := &wire.Result{Attempt: id.number, State: wire.AttemptRefused, Reason: wire.RefusedDuplicate, Recorded: r.state}
		if r.result != nil {
			refusal.Status, refusal.Headers, refusal.Body = r.result.Status, r.result.Headers, r.result.Body
		}
		p.attempts[id] = &plainRecord{at: now, state: wire.AttemptRefused, result: refusal}
		return refusal
	}
	r := &plainRecord{at: now, task: task, state: wire.AttemptQueued}
	p.attempts[id], p.tasks[task] = r, r
	return nil
}

func (p *plainRecords) Running(id attemptID) {
	if r := p.attempts[id]; r != nil {
		r.state = wire.AttemptRunning
	}
}

func (p *plainRecords) Finish(now time.Time, id attemptID, result *wire.Result) {
	r := p.attempts[id]
	if r == nil {
		r = &plainRecord{}
		p.attempts[id] = r
	}
	r.at, r.state, r.result = now, result.State, result
	if result.State == wire.AttemptRefused && p.tasks[r.task] == r {
		delete(p.tasks, r.task)
	}
}

func (p *plainRecords) Query(now time.Time, id attemptID) (*wire.Result, wire.AttemptState) {
	r := p.attempts[id]
	if r == nil {
		result := &wire.Result{Attempt: id.number, State: wire.AttemptNeverSeen}
		p.attempts[id] = &plainRecord{at: now, state: wire.AttemptRefused, result: result}
		return result, wire.AttemptNeverSeen
	}
	return r.result, r.state
}

func (p *plainRecords) Expire(now time.Time) {
	for id, r := range p.attempts {
		if r.result != nil && now.Sub(r.at) > p.retention {
			delete(p.attempts, id)
			if p.tasks[r.task] == r {
				delete(p.tasks, r.task)
			}
		}
	}
}

func (p *plainRecords) Len() int { return len(p.attempts) }

func (p *plainRecords) Lookup(id attemptID) (*wire.Result, bool) {
	r := p.attempts[id]
	if r == nil || r.result == nil {
		return nil, false
	}
	return r.result, true
}
