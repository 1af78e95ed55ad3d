package runs

import (
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/job"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Owner identifies one incarnation of an entry process.
type Owner uint64

// Config holds the parameters of a Table.
type Config struct {
	// Placement is the rule by which waiting tasks start. It is the same at entries and agents.
	Placement Placement
	// StartGracePeriod is the age from which a start without an answer counts as unconfirmed when a snapshot does not list
	// the run. The run then gets a stop, which determines whether it starts.
	StartGracePeriod time.Duration
	// MaxBackfillAge is the age of a waiting task that does not fit up to which smaller tasks may start before it.
	MaxBackfillAge time.Duration
	// StopRetryInterval is the interval at which a stop is repeated until the end of the run is listed.
	StopRetryInterval time.Duration
	// StallTimeout is the time without progress of any run after which the worker counts as stalled.
	StallTimeout time.Duration
	// StallBackoff is the time for which a stalled worker gets no work; after it, one task at a time until one succeeds.
	StallBackoff time.Duration
	// FailureBackoff is the same for a worker whose runs fail consecutively.
	FailureBackoff time.Duration
	// MoveLongRuns stops a first attempt whose progress shows that it takes several times its estimate, so that the task is
	// started again on another worker.
	MoveLongRuns bool
}

// DefaultConfig returns the parameters for tasks that take less than a second.
func DefaultConfig() Config {
	return Config{
		Placement:         DefaultPlacement,
		StartGracePeriod:  25 * time.Millisecond,  // ten times the usual response time of a worker on the same host
		MaxBackfillAge:    50 * time.Millisecond,  // the run time of the shortest tasks, within which capacity becomes free for large ones
		StopRetryInterval: 60 * time.Millisecond,  // just above the time that a worker takes to stop a run
		StallTimeout:      400 * time.Millisecond, // within this a healthy worker completes one percent of a task of several seconds
		StallBackoff:      500 * time.Millisecond, // the shortest time in which a probation task of ordinary length can end
		FailureBackoff:    500 * time.Millisecond,
	}
}

// state is the state of an offered task at the agent.
type state uint8

const (
	waiting     state = iota // not sent to the worker
	starting                 // the start was sent and has no answer
	running                  // the start was confirmed
	stopping                 // a stop was sent; the end is not listed yet
	unconfirmed              // the start got no answer; a stop was sent to determine whether it took effect
)

// run is a task that an entry offered, and its current run if it was started.
type run struct {
	owner     Owner
	offer     wire.Offer
	ref       Ref
	needs     job.Resources
	state     state
	arrivedAt time.Time
	// latestStart is the time by which the task should start; after expiresAt nobody waits for its result.
	latestStart, expiresAt time.Time
	// lateWindow is the time after latestStart within which a late result is still useful.
	lateWindow   time.Duration
	startedAt    time.Time
	percent      int
	progressedAt time.Time
	measuredAt   time.Time // until when measureProgress has accounted for the run
	// stopReason is why the run is to be stopped, or empty; withdrawn is set when no entry wants its result.
	stopReason string
	withdrawn  bool
	// mayHaveRun is set if an earlier incarnation of the worker may have started the run.
	mayHaveRun bool
	// intervalTime is the time between the last two snapshots of the run, intervalPercent its progress meanwhile.
	intervalTime    time.Duration
	intervalPercent int
	// isLong is set while the progress of the run shows that it takes several times its estimate.
	isLong bool
	// confirmedAt is when an answer to the start, or a snapshot, first showed the run on the worker.
	confirmedAt time.Time
	// firstStopAt and stopSentAt are when the first and the last of the stops was sent, stopAnsweredAt when the first answer to
	// one arrived.
	firstStopAt, stopSentAt, stopAnsweredAt time.Time
	stopsSent                               int
	// reservedUntil is when the reservation of a waiting task expires; zero if it has none. plannedIn is the time until its start
	// in the last plan.
	reservedUntil time.Time
	plannedIn     time.Duration
}

// tierAt returns the urgency tier of a waiting task: 0 while it can still meet its objective, 1 while a late result is still
// useful, 2 after that.
func (r *run) tierAt(now time.Time) int {
	switch late := now.Sub(r.latestStart); {
	case late <= 0:
		return 0
	case late <= r.lateWindow:
		return 1
	default:
		return 2
	}
}

// Command is a call to the worker: a start or a stop of a run.
type Command struct {
	Ref
	Stop    bool
	Payload string
	Worker  string // id of the worker that a start is meant for; another one refuses it
}

// RunEvent is the start of a run or the end of an offer, for the entry that made the offer.
type RunEvent struct {
	Owner        Owner
	End          *wire.RunEnd
	StartedOffer uint64     // number of the offer whose run was sent to the worker; 0 if End is set
	Task         job.TaskID // for logs
	// StopsSent is the number of stops that an ended run took, StoppingFor the time from the first of them to the end.
	StopsSent   int
	StoppingFor time.Duration
}

// Table holds the offered tasks and the runs of one worker.
type Table struct {
	config        Config
	announcements announcements
	announcement  *announced // of the incarnation that answers polls, or nil
	incarnation   int64      // StartedMillis of the last snapshot
	hasSnapshot   bool
	// life is the number of the incarnation for entries, 0 before the first snapshot. It is the time of its start, raised where
	// needed so that it increases although the time of day can jump back.
	life         int64
	leaving      bool
	unresponsive bool // the worker does not answer
	evacuated    bool // the data centre of the worker is evacuated
	// returnedAt is when the evacuation ended, while the worker takes only a share of its capacity; else zero.
	returnedAt time.Time
	// latestPollAt is when the poll was made whose snapshot was applied last. snapshotAt is when the last snapshot arrived.
	latestPollAt, snapshotAt time.Time
	// connectionClosedAt is when a call last ended because its connection was closed.
	connectionClosedAt time.Time

	offers           map[offerKey]*run
	queue            queue
	active           map[Ref]*run
	endsBy           map[Ref]time.Time // for each active run that has to end, by when; see requireEnd
	awaited          map[Owner]int     // number of open offers of each entry that it has not withdrawn
	orphans          map[Ref]time.Time // runs on the worker that no offer here belongs to, with the time of the last stop
	used             job.Resources
	lastProcessedEnd uint64
	highestAttempts  attemptTracker
	learned          learnedSlowdown
	recent           recentSlowdown
	health           health
	lookahead        Lookahead
	longRuns         longRuns

	commands []Command
	events   []RunEvent
}

type offerKey struct {
	owner  Owner
	number uint64
}

// NewTable returns an empty table. Nothing starts until the worker has announced itself and a snapshot was applied.
func NewTable(config Config) *Table {
	return &Table{
		config: config, offers: make(map[offerKey]*run), active: make(map[Ref]*run), endsBy: make(map[Ref]time.Time), awaited: make(map[Owner]int),
		orphans: make(map[Ref]time.Time), announcements: newAnnouncements(), highestAttempts: newAttemptTracker(), health: health{config: config},
	}
}

// TakeOutput returns the commands and events that were collected since the last call, and clears them. It drops starts whose
// offer has ended meanwhile.
func (t *Table) TakeOutput() ([]Command, []RunEvent) {
	commands, events := t.commands, t.events
	t.commands, t.events = nil, nil
	commands = slices.DeleteFunc(commands, func(c Command) bool { return !c.Stop && t.active[c.Ref] == nil })
	return commands, events
}

// LastProcessedEnd returns the number of the last end in a snapshot that was processed.
func (t *Table) LastProcessedEnd() uint64 { return t.lastProcessedEnd }

// Idle reports whether no task waits and no run is active.
func (t *Table) Idle() bool { return len(t.offers) == 0 && len(t.active) == 0 }

// OnlyOrphansRunning reports whether there are runs on the worker, none of which belongs to an offer of this table.
func (t *Table) OnlyOrphansRunning() bool { return len(t.orphans) > 0 && len(t.active) == 0 }

// Announcement returns the last announcement of the incarnation of the worker that answers polls; the zero value if it has not
// announced itself.
func (t *Table) Announcement() Announcement {
	if t.announcement == nil {
		return Announcement{}
	}
	return t.announcement.Announcement
}

// closedReason returns why no task may start, or an empty string.
func (t *Table) closedReason(now time.Time) string {
	switch {
	case t.announcement == nil:
		return "the worker has not announced itself"
	case t.leaving:
		return "the agent is stopping"
	case t.evacuated:
		return evacuatedReason
	case t.announcement.left:
		return "the worker has left"
	case t.announcement.Draining:
		return "the worker is draining"
	case t.unresponsive:
		return "the worker does not answer"
	case !t.hasSnapshot:
		return "the runs of the worker are not known yet"
	case t.MayHaveRestarted(), t.announcements.otherAnnouncedAfter(t.announcement, t.latestPollAt):
		return "the worker may have restarted"
	case t.LeaseRunsOut(now):
		return "the lease runs out, because a run does not end"
	default:
		return ""
	}
}

// HandleConnectionClosed records that the connection of a call to the worker was closed without an answer. The process of the worker
// may have ended, and the next one may have another capacity or other labels, so nothing starts until a later poll is answered.
func (t *Table) HandleConnectionClosed(now time.Time) { t.connectionClosedAt = now }

// MayHaveRestarted reports whether no poll has been answered that was made after the connection of a call was closed.
func (t *Table) MayHaveRestarted() bool {
	return t.hasSnapshot && !t.connectionClosedAt.IsZero() && !t.latestPollAt.After(t.connectionClosedAt)
}

// StopAccepting refuses all further work and returns the waiting tasks; active runs continue.
func (t *Table) StopAccepting(now time.Time) {
	t.leaving = true
	t.returnWaiting(now, t.closedReason(now))
}

// SetWorker records an announcement of the worker. It returns whether the announcement is in force now: it is not if a later
// one of its incarnation is known, or if another incarnation answers polls. In the second case it comes into force with the first
// snapshot of its incarnation.
func (t *Table) SetWorker(now time.Time, a Announcement) bool {
	t.announcements.record(now, a, t.announcement)
	t.applyAnnouncement(now)
	return t.announcement != nil && t.announcement.ID == a.ID && t.announcement.StartedMillis == a.StartedMillis &&
		t.announcement.Sequence == a.Sequence
}

// applyAnnouncement brings the announcement of the present incarnation into force. Until the first snapshot arrives, the
// incarnation that started last stands for it.
func (t *Table) applyAnnouncement(now time.Time) {
	if t.hasSnapshot {
		t.announcement = t.announcements.find(t.incarnation)
	} else {
		t.announcement = t.announcements.latest()
	}
	if t.announcement == nil || t.announcement.Draining || t.announcement.left {
		t.returnWaiting(now, t.closedReason(now))
	}
	t.startWaiting(now)
}

// HandleWorkerLeft records that the worker with an id has announced that it ends now. Waiting tasks return to their entries;
// the end of active runs shows when the worker no longer listens or their lease expires, because the notice can be a delayed
// one of an earlier incarnation. It returns false if the worker has another id.
func (t *Table) HandleWorkerLeft(now time.Time, id string) bool {
	if t.announcement == nil || t.announcement.ID != id {
		return false
	}
	t.announcement.left = true
	t.returnWaiting(now, t.closedReason(now))
	return true
}

// replaceIncarnation records that another incarnation of the worker answers, from its first snapshot. The runs of the previous
// incarnation have ended. Those that the snapshot lists were started on the new one, and those that were ordered after the
// poll or have no answer yet may have been.
func (t *Table) replaceIncarnation(now, polledAt time.Time, snapshot Snapshot) {
	t.incarnation, t.life = snapshot.StartedMillis, max(snapshot.StartedMillis, t.life+1)
	t.lastProcessedEnd, t.latestPollAt = 0, time.Time{}
	t.orphans = make(map[Ref]time.Time)
	t.learned, t.recent = learnedSlowdown{}, recentSlowdown{}
	t.health = health{config: t.config}
	listed := snapshot.refs()
	for ref, r := range t.active {
		switch {
		case listed[ref]:
		case r.state == starting:
			r.mayHaveRun = true
		case r.state == unconfirmed || !r.startedAt.Before(polledAt):
			r.mayHaveRun, r.stopAnsweredAt = true, time.Time{} // only the new incarnation can tell whether it has the run
			t.stopUnconfirmed(now, r)
		default:
			t.endOffer(now, r, wire.RunStopped, "the worker restarted")
		}
	}
	t.applyAnnouncement(now)
}

// MarkUnresponsive records that the worker does not answer. Waiting tasks return to their entries; active runs are kept
// until HandleWorkerLost.
func (t *Table) MarkUnresponsive(now time.Time) {
	t.unresponsive = true
	t.returnWaiting(now, t.closedReason(now))
}

// HandleWorkerLost ends all runs. It is called when the lease of the worker has expired.
func (t *Table) HandleWorkerLost(now time.Time, reason string) {
	t.unresponsive = true
	t.endActive(now, reason)
	t.returnWaiting(now, t.closedReason(now))
}

// endActive reports every run that was sent to the worker as stopped.
func (t *Table) endActive(now time.Time, reason string) {
	for _, r := range t.active {
		t.endOffer(now, r, wire.RunStopped, reason)
	}
}

// AddOffer adds a task that an entry offers. Every offer gets exactly one wire.RunEnd in the events.
func (t *Table) AddOffer(now time.Time, owner Owner, o wire.Offer) {
	key := offerKey{owner, o.Number}
	if t.offers[key] != nil {
		return
	}
	r := &run{
		owner: owner, offer: o, arrivedAt: now,
		ref:         Ref{Task: job.TaskID{Job: o.Job, Step: o.Step, Index: o.Index}, Attempt: o.Attempt},
		needs:       job.Resources{MilliCPU: o.MilliCPU, MemoryMB: o.MemoryMB, Accelerators: o.Accelerators},
		latestStart: now.Add(time.Duration(o.SlackMillis) * time.Millisecond),
		expiresAt:   now.Add(time.Duration(o.BudgetMillis) * time.Millisecond),
		lateWindow:  time.Duration(o.LateWindowMillis) * time.Millisecond,
	}
	t.offers[key] = r
	t.awaited[owner]++
	if reason := t.refusalReason(now, r); reason != "" {
		t.endOffer(now, r, wire.RunNotStarted, reason)
		return
	}
	if o.ReserveMillis > 0 && t.config.Placement == PlaceAhead {
		if !t.admitReservation(now, r) {
			t.endOffer(now, r, wire.RunNotStarted, "the worker holds other reservations")
			return
		}
	}
	t.queue.push(r)
	t.startWaiting(now)
	if t.config.Placement == PlaceAhead {
		t.returnIfLate(now, r)
		return
	}
	if limit := time.Duration(o.MaxWaitMillis) * time.Millisecond; r.state == waiting && limit > 0 && t.expectedWait(now, r) > limit {
		t.queue.remove(r)
		t.endOffer(now, r, wire.RunNotStarted, "the worker has no room soon")
	}
}

// expectedWait estimates the time until a waiting task starts, from the capacity that active runs will free and the tasks
// queued before it. About half of the active runs end within meanRemaining, so freeing a share of the capacity takes twice
// that share of it.
func (t *Table) expectedWait(now time.Time, r *run) time.Duration {
	capacity := t.Announcement().Capacity.MilliCPU
	if capacity <= 0 {
		return 0
	}
	missing := r.needs.MilliCPU - max(t.admittedCapacity(now).MilliCPU-t.used.MilliCPU, 0)
	queuedAhead := int64(0)
	for _, other := range t.queue.runs {
		if other == r {
			break
		}
		queuedAhead += other.needs.MilliCPU * max(other.offer.EstimateMillis, 1)
	}
	untilCapacityFree := time.Duration(2 * float64(max(missing, 0)) / float64(capacity) * float64(t.meanRemaining(now)))
	return untilCapacityFree + time.Duration(float64(queuedAhead)/float64(capacity)*t.expectedSlowdown())*time.Millisecond
}

func (t *Table) refusalReason(now time.Time, r *run) string {
	switch {
	case t.closedReason(now) != "":
		return t.closedReason(now)
	case t.unfitReason(r) != "":
		return t.unfitReason(r)
	case !t.health.admits(now, len(t.active)+t.queue.Len()):
		return "the worker is on trial"
	default:
		return ""
	}
}

// unfitReason returns why the present incarnation of the worker can't run a task, or an empty string.
func (t *Table) unfitReason(r *run) string {
	switch {
	case r.offer.Service != t.announcement.Service:
		return "the worker belongs to another service"
	case r.offer.Label != "" && !slices.Contains(t.announcement.Labels, r.offer.Label):
		return "the worker does not have the label"
	case !r.needs.FitsIn(t.announcement.Capacity):
		return "the task is larger than the worker"
	default:
		return ""
	}
}

// endOffer reports the end of an offer and frees the resources of its run.
func (t *Table) endOffer(now time.Time, r *run, outcome wire.RunOutcome, reason string) {
	t.removeActive(r)
	delete(t.offers, offerKey{r.owner, r.offer.Number})
	t.stopAwaiting(r)
	if !r.reservedUntil.IsZero() {
		t.lookahead.Released++
	}
	end := &wire.RunEnd{Number: r.offer.Number, Outcome: outcome, Reason: reason}
	if outcome != wire.RunNotStarted && outcome != wire.RunInvalid {
		end.Attempt = r.ref.Attempt
		end.DurationMicros = now.Sub(r.startedAt).Microseconds()
	}
	event := RunEvent{Owner: r.owner, End: end, Task: r.ref.Task, StopsSent: r.stopsSent}
	if r.stopsSent > 0 {
		event.StoppingFor = now.Sub(r.firstStopAt)
	}
	t.events = append(t.events, event)
}

// removeActive frees the resources of a run that has ended or has never started.
func (t *Table) removeActive(r *run) {
	if t.active[r.ref] != r {
		return
	}
	delete(t.active, r.ref)
	delete(t.endsBy, r.ref)
	t.used = t.used.Sub(r.needs)
}

// returnWaiting returns all waiting tasks to their entries.
func (t *Table) returnWaiting(now time.Time, reason string) {
	for _, r := range slices.Clone(t.queue.runs) {
		t.queue.remove(r)
		t.endOffer(now, r, wire.RunNotStarted, reason)
	}
}

// startWaiting starts waiting tasks that fit, the most urgent first. A smaller task may start before one that does not fit,
// unless that one has waited for longer than MaxBackfillAge.
func (t *Table) startWaiting(now time.Time) {
	t.expireReservations(now)
	if t.closedReason(now) != "" || len(t.orphans) > 0 {
		return
	}
	if t.config.Placement == PlaceAhead {
		t.startPlanned(now)
		return
	}
	t.queue.sort(now)
	for _, r := range slices.Clone(t.queue.runs) {
		switch {
		case !r.expiresAt.After(now):
			t.queue.remove(r)
			t.endOffer(now, r, wire.RunNotStarted, "expired")
		case t.unfitReason(r) != "": // the worker has restarted since the offer arrived
			t.queue.remove(r)
			t.endOffer(now, r, wire.RunNotStarted, t.unfitReason(r))
		case t.hasActiveRun(r.ref.Task):
		case len(t.active) == 0, t.used.Add(r.needs).FitsIn(t.admittedCapacity(now)):
			t.queue.remove(r)
			t.startRun(now, r)
		case now.Sub(r.arrivedAt) > t.config.MaxBackfillAge:
			return
		}
	}
}

// hasActiveRun reports whether a run of the task is still on the worker.
func (t *Table) hasActiveRun(task job.TaskID) bool {
	for ref := range t.active {
		if ref.Task == task {
			return true
		}
	}
	return false
}

func (t *Table) startRun(now time.Time, r *run) {
	r.ref.Attempt = t.highestAttempts.next(r.ref.Task, r.offer.Attempt)
	r.state, r.startedAt, r.progressedAt, r.measuredAt, r.stopAnsweredAt, r.percent = starting, now, now, now, time.Time{}, 0
	r.mayHaveRun, r.isLong, r.confirmedAt, r.stopsSent = false, false, time.Time{}, 0
	t.active[r.ref] = r
	t.used = t.used.Add(r.needs)
	t.commands = append(t.commands, Command{Ref: r.ref, Payload: r.offer.Payload, Worker: t.announcement.ID})
	t.events = append(t.events, RunEvent{Owner: r.owner, StartedOffer: r.offer.Number, Task: r.ref.Task})
}

// HasOffer reports whether an offer is open, waiting or with an active run.
func (t *Table) HasOffer(owner Owner, n uint64) bool { return t.offers[offerKey{owner, n}] != nil }

// OfferNumbers returns the numbers of the open offers of an entry.
func (t *Table) OfferNumbers(owner Owner) []uint64 {
	var numbers []uint64
	for key := range t.offers {
		if key.owner == owner {
			numbers = append(numbers, key.number)
		}
	}
	return numbers
}
