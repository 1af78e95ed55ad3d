package runs

import (
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/job"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Owner names an entry: one life of an entry process.
type Owner uint64

// Config holds the times of a Table.
type Config struct {
	// StartGrace is the age of a start without an answer from which a list that does not show the run counts: the worker
	// then gets an order to stop, which settles whether the run begins.
	StartGrace time.Duration
	// Overtaking is the age up to which a waiting task that does not fit lets smaller ones start before it.
	Overtaking time.Duration
	// StopRetry is the time after which an order to stop is repeated while the end of the run is not listed.
	StopRetry time.Duration
	// Stall is the time without progress of any run after which the worker counts as stalled.
	Stall time.Duration
	// StallRest is the time for which a stalled worker gets no work but one trial task.
	StallRest time.Duration
	// FailureRest is the time for which a worker that fails what it starts gets no work but one trial task.
	FailureRest time.Duration
}

// DefaultConfig returns the times for tasks of less than a second.
func DefaultConfig() Config {
	return Config{
		StartGrace:  25 * time.Millisecond,  // ten times the usual answer of a worker on the same host
		Overtaking:  50 * time.Millisecond,  // the run time of the shortest tasks, within which room is found for large ones
		StopRetry:   60 * time.Millisecond,  // just above the time in which a worker carries out a stop
		Stall:       400 * time.Millisecond, // a healthy worker shows one percent of a task of several seconds by then
		StallRest:   500 * time.Millisecond, // the least time in which a trial task of ordinary length can end
		FailureRest: 500 * time.Millisecond,
	}
}

// state is the state of a task at the agent.
type state uint8

const (
	waiting  state = iota // offered, not sent to the worker
	starting              // the start was sent and has no answer
	running               // the start was answered
	stopping              // a stop is wanted; the end is not listed
	doubtful              // the start had no answer, a stop is sent to settle whether it began
)

// run is a task that an entry offered.
type run struct {
	owner   Owner
	offer   wire.Offer
	ref     Ref
	needs   job.Resources
	state   state
	arrived time.Time
	// latest is the time by which the task should begin; expires the time after which nobody waits for it.
	latest, expires time.Time
	// worth is the time after latest in which a late answer still has a worth.
	worth      time.Duration
	began      time.Time
	percent    int
	progressed time.Time
	paced      time.Time // up to when the pace of the worker includes the run
	// reason is why the run is stopped; withdrawn is set when nobody wants its result.
	reason    string
	withdrawn bool
	// stopSent is when the last stop was sent, settled when one was answered.
	stopSent, settled time.Time
}

// tier returns the order class of a waiting task: those that can still meet their objective come first, then those that are
// late, and last those whose answer is worth nothing any more but is still waited for.
func (r *run) tier(now time.Time) int {
	switch late := now.Sub(r.latest); {
	case late <= 0:
		return 0
	case late <= r.worth:
		return 1
	default:
		return 2
	}
}

// Order is a call to the worker.
type Order struct {
	Ref
	Stop    bool
	Payload string
}

// Message is an end or a beginning of a run for an entry.
type Message struct {
	Owner Owner
	End   *wire.RunEnd
	Began uint64     // number of an offer whose task began; 0 with End
	Task  job.TaskID // for the log
}

// Table holds the tasks at one worker.
type Table struct {
	config  Config
	info    Info
	known   bool // the worker has announced itself
	looked  bool // the lists of the present life were read
	leaving bool
	mute    bool // the worker does not answer
	// latestLook is when the latest look was made whose runs were taken over.
	latestLook time.Time

	offers  map[offerKey]*run
	queue   queue
	active  map[Ref]*run
	orphans map[Ref]time.Time // runs that nobody here wants, with the time of the last stop
	used    job.Resources
	seen    uint64
	highest attempts
	speed   slowness
	pace    pace
	health  health

	orders   []Order
	messages []Message
}

type offerKey struct {
	owner  Owner
	number uint64
}

// NewTable returns an empty table. Nothing starts until the worker has announced itself and its runs were listed.
func NewTable(config Config) *Table {
	return &Table{
		config: config, offers: make(map[offerKey]*run), active: make(map[Ref]*run),
		orphans: make(map[Ref]time.Time), highest: newAttempts(), health: health{config: config},
	}
}

// Take returns the calls and messages that followed from the events since the last call.
func (t *Table) Take() ([]Order, []Message) {
	orders, messages := t.orders, t.messages
	t.orders, t.messages = nil, nil
	return orders, messages
}

// Seen returns the number of the last end that was processed.
func (t *Table) Seen() uint64 { return t.seen }

// Idle reports whether no task waits or runs.
func (t *Table) Idle() bool { return len(t.offers) == 0 && len(t.active) == 0 }

// OnlyForeign reports whether all runs on the worker are ones that nobody here wants.
func (t *Table) OnlyForeign() bool { return len(t.orphans) > 0 && len(t.active) == 0 }

// Info returns what the worker announced last.
func (t *Table) Info() Info { return t.info }

// closed returns why no task may start, or an empty text.
func (t *Table) closed() string {
	switch {
	case !t.known:
		return "the worker has not announced itself"
	case t.leaving:
		return "the agent is stopping"
	case t.info.Draining:
		return "the worker is draining"
	case t.mute:
		return "the worker does not answer"
	case !t.looked:
		return "the runs of the worker are not known yet"
	default:
		return ""
	}
}

// Leave refuses all further work; what runs goes on.
func (t *Table) Leave(now time.Time) {
	t.leaving = true
	t.returnWaiting(now, t.closed())
}

// SetWorker takes an announcement of the worker. Late ones of the same or an earlier life are ignored; it returns false
// for these.
func (t *Table) SetWorker(now time.Time, i Info) bool {
	if t.known && (i.Born < t.info.Born || i.Born == t.info.Born && i.ID == t.info.ID && i.Sequence < t.info.Sequence) {
		return false
	}
	if t.known && (i.Born != t.info.Born || i.ID != t.info.ID) {
		t.newLife(now, i.Born)
	}
	t.info, t.known = i, true
	if i.Draining {
		t.returnWaiting(now, t.closed())
	}
	t.startWaiting(now)
	return true
}

// newLife ends all runs of the former life of the worker.
func (t *Table) newLife(now time.Time, born int64) {
	t.endActive(now, "the worker restarted")
	t.orphans = make(map[Ref]time.Time)
	t.info.Born, t.seen, t.looked = born, 0, false
	t.speed, t.pace = slowness{}, pace{}
	t.health = health{config: t.config}
}

// Mute tells that the worker does not answer. Waiting tasks go back to their entries; runs are kept until Lapsed.
func (t *Table) Mute(now time.Time) {
	t.mute = true
	t.returnWaiting(now, t.closed())
}

// Lapsed tells that the lease of everything on the worker has certainly ended, or that the worker is gone.
func (t *Table) Lapsed(now time.Time, reason string) {
	t.mute = true
	t.endActive(now, reason)
	t.returnWaiting(now, t.closed())
}

// endActive reports every run that was sent to the worker as ended.
func (t *Table) endActive(now time.Time, reason string) {
	for _, r := range t.active {
		t.finish(now, r, wire.RunStopped, reason)
	}
}

// Offer takes a task from an entry. It is answered by one RunEnd in the messages.
func (t *Table) Offer(now time.Time, owner Owner, o wire.Offer) {
	key := offerKey{owner, o.Number}
	if t.offers[key] != nil {
		return
	}
	r := &run{
		owner: owner, offer: o, arrived: now,
		ref:     Ref{Task: job.TaskID{Job: o.Job, Step: o.Step, Index: o.Index}, Attempt: o.Attempt},
		needs:   job.Resources{MilliCPU: o.MilliCPU, MemoryMB: o.MemoryMB, Accelerators: o.Accelerators},
		latest:  now.Add(time.Duration(o.SlackMillis) * time.Millisecond),
		expires: now.Add(time.Duration(o.BudgetMillis) * time.Millisecond),
		worth:   time.Duration(o.LateMillis) * time.Millisecond,
	}
	t.offers[key] = r
	if reason := t.refusal(now, r); reason != "" {
		t.finish(now, r, wire.RunNotStarted, reason)
		return
	}
	t.queue.push(r)
	t.startWaiting(now)
	if limit := time.Duration(o.WaitMillis) * time.Millisecond; r.state == waiting && limit > 0 && t.expectedWait(now, r) > limit {
		t.queue.remove(r)
		t.finish(now, r, wire.RunNotStarted, "the worker has no room soon")
	}
}

// expectedWait estimates the time until a waiting task begins: until the running ones leave room, and for those before it.
func (t *Table) expectedWait(now time.Time, r *run) time.Duration {
	capacity := t.info.Capacity.MilliCPU
	if capacity <= 0 {
		return 0
	}
	missing := r.needs.MilliCPU - max(capacity-t.used.MilliCPU, 0)
	ahead := int64(0)
	for _, other := range t.queue.runs {
		if other == r {
			break
		}
		ahead += other.needs.MilliCPU * max(other.offer.EstimateMillis, 1)
	}
	untilRoom := time.Duration(2 * float64(max(missing, 0)) / float64(capacity) * float64(t.remaining(now)))
	return untilRoom + time.Duration(float64(ahead)/float64(capacity)*t.ratio())*time.Millisecond
}

func (t *Table) refusal(now time.Time, r *run) string {
	switch {
	case t.closed() != "":
		return t.closed()
	case r.offer.Service != t.info.Service:
		return "the worker belongs to another service"
	case !r.needs.Fits(t.info.Capacity):
		return "the task is larger than the worker"
	case !t.health.admits(now, len(t.active)+t.queue.Len()):
		return "the worker is on trial"
	default:
		return ""
	}
}

// Withdraw ends a task whose result nobody wants. A task that runs is stopped.
func (t *Table) Withdraw(now time.Time, owner Owner, number uint64) {
	if r := t.offers[offerKey{owner, number}]; r != nil {
		t.abandon(now, r, "withdrawn")
	}
}

// DropOwner ends all tasks of an entry that is gone.
func (t *Table) DropOwner(now time.Time, owner Owner) {
	for key, r := range t.offers {
		if key.owner == owner {
			t.abandon(now, r, "the entry is gone")
		}
	}
}

func (t *Table) abandon(now time.Time, r *run, reason string) {
	if r.state == waiting {
		t.queue.remove(r)
		t.finish(now, r, wire.RunNotStarted, reason)
		return
	}
	r.withdrawn = true
	t.stop(now, r, reason)
}

// stop orders the end of a run. The task keeps its room until the end is certain.
func (t *Table) stop(now time.Time, r *run, reason string) {
	if r.reason == "" {
		r.reason = reason
	}
	if r.state == starting || r.state == doubtful {
		return // the answer to the start, or the stop that is under way, decides
	}
	r.state = stopping
	t.sendStop(now, r)
}

func (t *Table) sendStop(now time.Time, r *run) {
	r.stopSent = now
	t.orders = append(t.orders, Order{Ref: r.ref, Stop: true})
}

// finish gives an offer its end and frees its room.
func (t *Table) finish(now time.Time, r *run, outcome wire.RunOutcome, reason string) {
	if t.active[r.ref] == r {
		delete(t.active, r.ref)
		t.used = t.used.Sub(r.needs)
	}
	delete(t.offers, offerKey{r.owner, r.offer.Number})
	end := &wire.RunEnd{Number: r.offer.Number, Outcome: outcome, Reason: reason}
	if outcome != wire.RunNotStarted && outcome != wire.RunInvalid {
		end.Attempt = r.ref.Attempt
		end.DurationMicros = now.Sub(r.began).Microseconds()
	}
	t.messages = append(t.messages, Message{Owner: r.owner, End: end, Task: r.ref.Task})
}

// returnWaiting gives all waiting tasks back to their entries.
func (t *Table) returnWaiting(now time.Time, reason string) {
	for _, r := range slices.Clone(t.queue.runs) {
		t.queue.remove(r)
		t.finish(now, r, wire.RunNotStarted, reason)
	}
}

// startWaiting starts waiting tasks, the most urgent first, while they fit. A smaller task may start before one that does
// not fit, unless that has waited for its turn for too long.
func (t *Table) startWaiting(now time.Time) {
	if t.closed() != "" || len(t.orphans) > 0 {
		return
	}
	t.queue.sort(now)
	for _, r := range slices.Clone(t.queue.runs) {
		switch {
		case !r.expires.After(now):
			t.queue.remove(r)
			t.finish(now, r, wire.RunNotStarted, "expired")
		case t.busyWith(r.ref.Task):
		case t.used.Add(r.needs).Fits(t.info.Capacity):
			t.queue.remove(r)
			t.start(now, r)
		case now.Sub(r.arrived) > t.config.Overtaking:
			return
		}
	}
}

// busyWith reports whether an earlier run of the task is still on the worker.
func (t *Table) busyWith(task job.TaskID) bool {
	for ref := range t.active {
		if ref.Task == task {
			return true
		}
	}
	return false
}

func (t *Table) start(now time.Time, r *run) {
	r.ref.Attempt = t.highest.next(r.ref.Task, r.offer.Attempt)
	r.state, r.began, r.progressed, r.paced, r.settled, r.percent = starting, now, now, now, time.Time{}, 0
	t.active[r.ref] = r
	t.used = t.used.Add(r.needs)
	t.orders = append(t.orders, Order{Ref: r.ref, Payload: r.offer.Payload})
	t.messages = append(t.messages, Message{Owner: r.owner, Began: r.offer.Number, Task: r.ref.Task})
}

// Has reports whether an offer waits or runs.
func (t *Table) Has(owner Owner, number uint64) bool { return t.offers[offerKey{owner, number}] != nil }

// Numbers returns the offers of an entry that wait or run.
func (t *Table) Numbers(owner Owner) []uint64 {
	var numbers []uint64
	for key := range t.offers {
		if key.owner == owner {
			numbers = append(numbers, key.number)
		}
	}
	return numbers
}
