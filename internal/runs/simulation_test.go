package runs_test

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/coltsfootspur/coltsfootspur/internal/job"
	"github.com/coltsfootspur/coltsfootspur/internal/runs"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// errNoAnswer is the error of a call that gets no answer.
var errNoAnswer = errors.New("no answer")

// fakeWorker implements the worker's side of the protocol in memory.
type fakeWorker struct {
	id              string
	startedMillis   int64
	leaving         bool // this incarnation has announced its end
	capacity        int64
	running         map[runs.Ref]int64 // milliCPU of each run
	highest         map[job.TaskID]uint32
	finished        []runs.Finished
	lastEnd         uint64
	everStarted     map[job.TaskID]bool // tasks of which a run has started in any incarnation
	overcommitted   bool
	ranConcurrently bool
}

func newFakeWorker(startedMillis, capacity int64) *fakeWorker {
	return &fakeWorker{
		id: "w", startedMillis: startedMillis, capacity: capacity, running: make(map[runs.Ref]int64), highest: make(map[job.TaskID]uint32),
		everStarted: make(map[job.TaskID]bool),
	}
}

func (w *fakeWorker) start(ref runs.Ref, needs int64) error {
	if _, running := w.running[ref]; running {
		return nil
	}
	if ref.Attempt <= w.highest[ref.Task] {
		return runs.ErrStaleAttempt
	}
	used := needs
	for other, n := range w.running {
		used += n
		w.ranConcurrently = w.ranConcurrently || other.Task == ref.Task
	}
	w.overcommitted = w.overcommitted || used > w.capacity
	w.highest[ref.Task] = ref.Attempt
	w.running[ref] = needs
	w.everStarted[ref.Task] = true
	return nil
}

func (w *fakeWorker) end(ref runs.Ref, how runs.End) {
	if _, running := w.running[ref]; !running {
		return
	}
	delete(w.running, ref)
	w.lastEnd++
	w.finished = append(w.finished, runs.Finished{Ref: ref, Number: w.lastEnd, End: how})
}

func (w *fakeWorker) stop(ref runs.Ref) {
	w.highest[ref.Task] = max(w.highest[ref.Task], ref.Attempt)
	w.end(ref, runs.EndStopped)
}

func (w *fakeWorker) snapshot(acknowledgedEnd uint64) runs.Snapshot {
	s := runs.Snapshot{StartedMillis: w.startedMillis, Clock: time.Second}
	for ref := range w.running {
		s.Running = append(s.Running, runs.Running{Ref: ref, Percent: 1})
	}
	w.finished = slices.DeleteFunc(w.finished, func(f runs.Finished) bool { return f.Number <= acknowledgedEnd })
	s.Finished = slices.Clone(w.finished)
	return s
}

// restart starts a new incarnation that has no runs and no record of earlier ones.
func (w *fakeWorker) restart() {
	w.startedMillis++
	w.leaving = false
	w.running, w.finished, w.lastEnd = make(map[runs.Ref]int64), nil, 0
	w.highest = make(map[job.TaskID]uint32)
}

// announcementOf returns an announcement of the worker's present incarnation.
func (w *fakeWorker) announcementOf(sequence uint64, draining bool) runs.Announcement {
	return runs.Announcement{
		ID: w.id, StartedMillis: w.startedMillis, Sequence: sequence, Service: "bench", Draining: draining,
		Capacity: job.Resources{MilliCPU: w.capacity},
	}
}

// leasedCommand is a command with the lease that it carries.
type leasedCommand struct {
	runs.Command
	lease time.Time
}

// simulation drives a table against a fakeWorker.
type simulation struct {
	t      *rapid.T
	now    time.Time
	table  *runs.Table
	worker *fakeWorker
	// lateCommands holds commands without an answer that the worker has not carried out yet.
	lateCommands []leasedCommand
	// losesStops is true while no stop is carried out or answered.
	losesStops bool
	// lease is when the lease of the worker's runs ends. mustEnd is, for tasks of a lost entry and withdrawn ones, when a run of
	// them has to have ended.
	lease   time.Time
	mustEnd map[job.TaskID]time.Time
	// delayedSnapshots holds functions that deliver snapshots which were taken but have not arrived yet.
	delayedSnapshots []func()
	needs            map[job.TaskID]int64
	ends             map[uint64]wire.RunEnd
	offers           map[uint64]job.TaskID
	lastOffer        uint64
	lastAnnouncement uint64 // sequence number of the last announcement of the incarnation
	// announced holds all announcements of all incarnations, which can arrive again at any time.
	announced []runs.Announcement
	// firstStart and lastStart bound the start times of all incarnations.
	firstStart, lastStart int64
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		t: t, now: time.Unix(1000, 0), worker: newFakeWorker(1, 16), firstStart: 1, lastStart: 1,
		needs: make(map[job.TaskID]int64), ends: make(map[uint64]wire.RunEnd), offers: make(map[uint64]job.TaskID),
		mustEnd: make(map[job.TaskID]time.Time),
	}
	config := runs.DefaultConfig()
	config.Placement = rapid.SampledFrom([]runs.Placement{runs.PlaceByUrgency, runs.PlaceAhead}).Draw(t, "placement")
	s.table = runs.NewTable(config)
	s.announce()
	s.poll()
	return s
}

func (s *simulation) announce() {
	s.lastAnnouncement++
	a := s.worker.announcementOf(s.lastAnnouncement, s.worker.leaving)
	s.announced = append(s.announced, a)
	s.table.SetWorker(s.now, a)
}

// repeatAnnouncement delivers an earlier announcement once more.
func (s *simulation) repeatAnnouncement() {
	s.table.SetWorker(s.now, rapid.SampledFrom(s.announced).Draw(s.t, "announcement"))
}

// announceForeign delivers an announcement that the worker did not send.
func (s *simulation) announceForeign() {
	s.table.SetWorker(s.now, runs.Announcement{
		ID: "foreign", StartedMillis: rapid.Int64().Draw(s.t, "start"), Sequence: rapid.Uint64().Draw(s.t, "sequence"),
		Service: "bench", Capacity: job.Resources{MilliCPU: 1000}, Draining: rapid.Bool().Draw(s.t, "draining"),
	})
}

// restartWorker starts another incarnation, under the same id or another one. The time of day can have jumped back. Only under
// another id can the capacity change, because a start that names the wrong id is refused.
func (s *simulation) restartWorker() {
	s.lateCommands = nil // the lease in the commands has expired for the new incarnation
	s.lease = time.Time{}
	s.worker.restart()
	s.lastStart++
	s.worker.startedMillis = s.lastStart
	if rapid.Bool().Draw(s.t, "time of day jumped back") {
		s.firstStart--
		s.worker.startedMillis = s.firstStart
	}
	if rapid.Bool().Draw(s.t, "other id") {
		s.worker.id = fmt.Sprint("w", s.worker.startedMillis)
		s.worker.capacity = rapid.Int64Range(8, 16).Draw(s.t, "capacity")
	}
	s.lastAnnouncement = 0
	if rapid.Bool().Draw(s.t, "announced at once") {
		s.announce()
	}
}

func (s *simulation) addOffer() {
	s.lastOffer++
	task := job.TaskID{Job: "j", Index: int(s.lastOffer)}
	s.needs[task] = rapid.Int64Range(1, 8).Draw(s.t, "needs")
	s.offers[s.lastOffer] = task
	s.table.AddOffer(s.now, 1, wire.Offer{
		Number: s.lastOffer, Job: task.Job, Index: task.Index, Attempt: 1, Service: "bench", MilliCPU: s.needs[task],
		SlackMillis: 50, BudgetMillis: 100_000, EstimateMillis: 50, Priority: rapid.IntRange(0, 2).Draw(s.t, "priority"),
		MaxWaitMillis: rapid.SampledFrom([]int64{0, 40}).Draw(s.t, "wait"),
		ReserveMillis: rapid.SampledFrom([]int64{0, 160}).Draw(s.t, "reserve"),
	})
}

// leaseEnd returns the end of the lease in a call that is made now, as the agent computes it.
func (s *simulation) leaseEnd() time.Time {
	end := s.now.Add(runs.LeaseDuration)
	if limit := s.table.LeaseLimit(); !limit.IsZero() && limit.Before(end) {
		return limit
	}
	return end
}

func (s *simulation) extendLease(until time.Time) {
	if until.After(s.lease) {
		s.lease = until
	}
}

// expireLease ends the runs of a worker whose lease has ended, and checks that no run is left that has to have ended.
func (s *simulation) expireLease() {
	for ref := range s.worker.running {
		if !s.now.Before(s.lease) {
			s.worker.end(ref, runs.EndStopped)
			continue
		}
		if limit, ends := s.mustEnd[ref.Task]; ends && s.now.After(limit) {
			s.t.Fatalf("a run of task %v goes on %s after the time by which it has to end", ref.Task, s.now.Sub(limit))
		}
	}
}

// requireEnd records that a run of a task has to end within a time, unless it has to end earlier already.
func (s *simulation) requireEnd(task job.TaskID, within time.Duration) {
	if _, known := s.mustEnd[task]; !known {
		s.mustEnd[task] = s.now.Add(within)
	}
}

// withdraw withdraws an offer, which may not exist.
func (s *simulation) withdraw(number uint64) {
	if task, offered := s.offers[number]; offered {
		s.requireEnd(task, runs.RunsEndedAfter)
	}
	s.table.WithdrawOffer(s.now, 1, number)
}

// loseEntry ends all offers of the entry, as when it has been silent for runs.OwnerTimeout.
func (s *simulation) loseEntry() {
	const within = runs.RunsEndedAfter - runs.OwnerTimeout
	for _, task := range s.offers {
		s.requireEnd(task, within)
	}
	s.table.DropOwner(s.now, 1, s.now.Add(within))
}

// deliverOutput delivers the commands of the table with random results, and checks its events.
func (s *simulation) deliverOutput() {
	for {
		commands, events := s.table.TakeOutput()
		for _, event := range events {
			s.checkEvent(event)
		}
		if len(commands) == 0 {
			return
		}
		for _, command := range commands {
			s.deliverCommand(command)
		}
	}
}

func (s *simulation) deliverCommand(command runs.Command) {
	if !command.Stop && s.worker.leaving && command.Worker == s.worker.id {
		s.t.Fatalf("task %v starts on a worker that has announced its end", command.Task)
	}
	if command.Stop && s.losesStops {
		s.table.HandleStopResult(s.now, command.Ref, errNoAnswer)
		return
	}
	sent := leasedCommand{command, s.leaseEnd()}
	switch rapid.SampledFrom([]string{"answered", "answered", "answered", "lost", "late"}).Draw(s.t, "answer") {
	case "answered":
		err := s.execute(sent)
		if command.Stop {
			s.table.HandleStopResult(s.now, command.Ref, nil)
		} else {
			s.table.HandleStartResult(s.now, command.Ref, err)
		}
		return
	case "lost":
		_ = s.execute(sent) // the answer is lost
	default:
		s.lateCommands = append(s.lateCommands, sent)
	}
	if command.Stop {
		s.table.HandleStopResult(s.now, command.Ref, errNoAnswer)
	} else if rapid.Bool().Draw(s.t, "times out") {
		s.table.HandleStartResult(s.now, command.Ref, errNoAnswer)
	}
}

func (s *simulation) execute(command leasedCommand) error {
	if command.Stop {
		s.worker.stop(command.Ref)
		return nil
	}
	if command.Worker != s.worker.id {
		return runs.ErrWorkerRestarted
	}
	if !s.now.Before(command.lease) {
		return runs.ErrLeaseExpired
	}
	s.extendLease(command.lease)
	return s.worker.start(command.Ref, s.needs[command.Ref.Task])
}

func (s *simulation) checkEvent(event runs.RunEvent) {
	if event.End == nil {
		return
	}
	if _, ended := s.ends[event.End.Number]; ended {
		s.t.Fatalf("offer %d ended twice", event.End.Number)
	}
	s.ends[event.End.Number] = *event.End
	task := s.offers[event.End.Number]
	if event.End.Outcome == wire.RunNotStarted && s.worker.everStarted[task] {
		s.t.Fatalf("task %v was started and is reported as not started: %s", task, event.End.Reason)
	}
	for ref := range s.worker.running {
		if ref.Task == task {
			s.t.Fatalf("task %v is reported as ended (%v) and is still running", task, event.End.Outcome)
		}
	}
}

// poll takes a snapshot; it may arrive after later ones.
func (s *simulation) poll() {
	if !s.table.OnlyOrphansRunning() {
		s.extendLease(s.leaseEnd())
	}
	sent, snapshot := s.now, s.worker.snapshot(s.table.LastProcessedEnd())
	if rapid.IntRange(0, 4).Draw(s.t, "delay") == 0 {
		s.delayedSnapshots = append(s.delayedSnapshots, func() { s.table.HandleSnapshot(s.now, sent, snapshot) })
		return
	}
	s.table.HandleSnapshot(s.now, sent, snapshot)
}

func (s *simulation) elapse(d time.Duration) {
	s.now = s.now.Add(d)
	s.expireLease()
	s.table.Advance(s.now)
}

func (s *simulation) step() {
	s.now = s.now.Add(time.Microsecond) // a poll is made before or after an event, not at the same time
	s.expireLease()
	switch rapid.SampledFrom([]string{
		"offer", "offer", "offer", "poll", "poll", "end", "end", "fail", "withdraw", "late", "elapse", "restart", "lose", "arrive",
		"announce", "repeat", "foreign", "leave", "left",
	}).Draw(s.t, "step") {
	case "offer":
		s.addOffer()
	case "poll":
		s.elapse(time.Millisecond)
		s.poll()
	case "end":
		s.endOneRun(runs.EndDone)
	case "fail":
		s.endOneRun(runs.EndFailed)
	case "withdraw":
		s.withdraw(rapid.Uint64Range(1, s.lastOffer+1).Draw(s.t, "offer"))
	case "late":
		if len(s.lateCommands) > 0 {
			_ = s.execute(s.lateCommands[0]) // the table does not get the answer
			s.lateCommands = s.lateCommands[1:]
		}
	case "elapse":
		s.elapse(rapid.SampledFrom([]time.Duration{5, 30, 70}).Draw(s.t, "ms") * time.Millisecond)
	case "restart":
		s.restartWorker()
	case "announce":
		s.announce()
	case "repeat":
		s.repeatAnnouncement()
	case "foreign":
		s.announceForeign()
	case "leave":
		s.worker.leaving = true
		s.announce()
	case "left":
		s.table.HandleWorkerLeft(s.now, s.worker.id)
	case "lose":
		s.loseEntry()
	case "arrive":
		if len(s.delayedSnapshots) > 0 {
			s.delayedSnapshots[0]()
			s.delayedSnapshots = s.delayedSnapshots[1:]
		}
	}
	s.deliverOutput()
}

func (s *simulation) endOneRun(how runs.End) {
	for ref := range s.worker.running {
		s.worker.end(ref, how)
		return
	}
}

// drain lets all offers end without further faults.
func (s *simulation) drain() {
	for range 60 {
		s.elapse(70 * time.Millisecond)
		for len(s.lateCommands) > 0 {
			_ = s.execute(s.lateCommands[0])
			s.lateCommands = s.lateCommands[1:]
		}
		for ref := range s.worker.running {
			s.worker.end(ref, runs.EndDone)
		}
		sent, snapshot := s.now, s.worker.snapshot(s.table.LastProcessedEnd())
		s.table.HandleSnapshot(s.now.Add(time.Millisecond), sent, snapshot)
		s.deliverOutput()
	}
}
