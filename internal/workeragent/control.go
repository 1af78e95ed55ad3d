package workeragent

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/coltsfootspur/coltsfootspur/internal/catalogsync"
	"github.com/coltsfootspur/coltsfootspur/internal/clock"
	"github.com/coltsfootspur/coltsfootspur/internal/evacuation"
	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/runs"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Intervals of the control goroutine.
const (
	// tickInterval is the resolution of the timeouts of runs and of load reports.
	tickInterval = 20 * time.Millisecond
	// minLoadInterval is the shortest interval between load reports without ends to an entry with few agents.
	minLoadInterval = 20 * time.Millisecond
	// linkCheckInterval is the interval at which the links of all entries are checked and load reports become due. Doing so
	// after each event would cost as much processor time as the events of an agent with 35 entries.
	linkCheckInterval = 10 * time.Millisecond
)

// control is the control state of an agent. Only the control goroutine accesses it.
type control struct {
	agent    *Agent
	log      log.Interface
	table    *runs.Table
	worker   *workerClient
	owners   map[runs.Owner]*owner
	diallers *diallerSet

	catalogs   catalogState
	evacuation evacuation.Tracker // the operator's requests to evacuate data centres
	// evacuationChangedAt is when the set of evacuated data centres last changed.
	evacuationChangedAt time.Time
	loadDirty           bool
	lastLoadOpen        bool // whether the last load that was passed to the owners was open for new tasks
	// linksCheckedAt is when the links of all entries were last checked; zero after a new link has to be reported to at once.
	linksCheckedAt time.Time
	drained        chan<- struct{}
	// lookahead is what the last log line about reservations said, at lookaheadLoggedAt.
	lookahead         runs.Lookahead
	lookaheadLoggedAt time.Time
}

func newControl(a *Agent) *control {
	config := runs.DefaultConfig()
	config.MoveLongRuns = a.options.MoveLongRuns
	c := &control{
		agent: a, log: a.options.Log, table: runs.NewTable(config), owners: make(map[runs.Owner]*owner),
		catalogs: newCatalogState(a.options.CatalogBytesPerSecond),
	}
	c.worker = newWorkerClient(c)
	c.diallers = newDiallerSet(a)
	return c
}

func (c *control) run(ctx context.Context) {
	defer close(c.agent.done)
	defer c.diallers.close()
	c.diallers.start(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.agent.events:
			c.dispatch(e)
		case <-ticker.C:
			c.dispatch(nil)
		}
	}
}

// dispatch applies an event and those that are queued behind it, and then sends the resulting calls and messages.
func (c *control) dispatch(e event) {
	now := c.agent.options.Clock.Now()
	checkLinks := now.Sub(c.linksCheckedAt) >= linkCheckInterval
	if checkLinks { // first, because the process may have been paused: nothing may start for an entry that has timed out
		c.linksCheckedAt = now
		c.dropSilentOwners(now)
	}
	if e != nil {
		e.apply(c, now)
	}
	for range len(c.agent.events) {
		(<-c.agent.events).apply(c, now)
	}
	c.table.Advance(now)
	c.worker.pollIfDue(now)
	c.loadDirty = c.loadDirty || c.table.Returning(now)
	checkLinks = checkLinks || c.linksCheckedAt.IsZero()
	c.flush(now, checkLinks)
	c.sendChunks(now)
	if checkLinks {
		c.syncCatalog(now)
		c.sendHeartbeats(now)
		c.recordLookahead(now)
		c.relayEvacuation(now)
	}
	if c.drained != nil && c.table.Idle() {
		close(c.drained)
		c.drained = nil
	}
}

// flush executes the commands of the table and sends its events to their entries. The load goes to all entries whose report is
// due if reportLoad is set or the worker has just begun or ceased to take work.
func (c *control) flush(now time.Time, reportLoad bool) {
	commands, events := c.table.TakeOutput()
	for _, command := range commands {
		c.worker.execute(now, command)
	}
	if len(commands)+len(events) > 0 {
		c.loadDirty = true
	}
	for _, event := range events {
		c.recordEvent(event)
		if o := c.owners[event.Owner]; o != nil {
			o.addEvent(event)
		}
	}
	load, info := c.table.Load(now), c.table.WorkerInfo()
	load.Fence, load.Demand = c.worker.fence, c.totalDemand()
	if reportLoad || load.Open != c.lastLoadOpen {
		changed := c.loadDirty || load.Open != c.lastLoadOpen
		for _, o := range c.owners {
			o.flush(now, load, info, changed)
		}
		c.loadDirty, c.lastLoadOpen = false, load.Open
		return
	}
	for _, event := range events {
		if o := c.owners[event.Owner]; o != nil {
			o.flush(now, load, info, false)
		}
	}
}

// totalDemand returns the sum of the demands of all entries, by priority, in thousandths of a core; nil if there is none.
func (c *control) totalDemand() []int64 {
	var total []int64
	for _, o := range c.owners {
		if total == nil && len(o.demand) > 0 {
			total = make([]int64, runs.ReportedPriorities)
		}
		for priority, d := range o.demand[:min(len(o.demand), runs.ReportedPriorities)] {
			total[priority] += d
		}
	}
	return total
}

func (c *control) recordEvent(event runs.RunEvent) {
	if event.End == nil {
		c.agent.options.Metrics.Started.Add(1)
		return
	}
	c.agent.options.Metrics.recordEnd(event.End)
	c.log.WithFields(log.Fields{
		"job": event.Task.Job, "step": event.Task.Step, "task": event.Task.Index, "attempt": event.End.Attempt, "offer": event.End.Number,
		"outcome": outcomeName(event.End.Outcome), "reason": event.End.Reason, "run_ms": event.End.DurationMicros / 1000,
		"worker": c.table.Announcement().ID, "stops": event.StopsSent, "stopping_ms": event.StoppingFor.Milliseconds(),
	}).Info("agent: offer ended")
}

func outcomeName(o wire.RunOutcome) string {
	switch o {
	case wire.RunDone:
		return "done"
	case wire.RunFailed:
		return "failed"
	case wire.RunStopped:
		return "stopped"
	case wire.RunInvalid:
		return "invalid"
	default:
		return "not_started"
	}
}

func (e workerAnnounced) apply(c *control, now time.Time) {
	defer close(e.applied)
	before := c.table.Announcement()
	if !c.table.SetWorker(now, e.announcement) {
		c.logAnnouncementNotInForce(e.announcement)
	}
	c.reportAnnouncement(before)
}

// logAnnouncementNotInForce logs an announcement that is outdated or belongs to another incarnation than the one that answers.
func (c *control) logAnnouncementNotInForce(a runs.Announcement) {
	known, message := c.table.Announcement(), "agent: outdated announcement of the worker ignored"
	if known.ID != a.ID || known.StartedMillis != a.StartedMillis {
		message = "agent: announcement of another incarnation than the one that answers"
	}
	c.agent.options.Metrics.AnnouncementsNotInForce.Add(1)
	c.log.WithFields(log.Fields{
		"worker": a.ID, "born": a.StartedMillis, "sequence": a.Sequence, "draining": a.Draining,
		"known_worker": known.ID, "known_born": known.StartedMillis, "known_sequence": known.Sequence, "known_draining": known.Draining,
	}).Info(message)
}

// reportAnnouncement logs a change of the announcement that is in force, and reports it to the entries.
func (c *control) reportAnnouncement(before runs.Announcement) {
	a := c.table.Announcement()
	if before.ID == a.ID && before.StartedMillis == a.StartedMillis && before.Draining == a.Draining &&
		before.Capacity == a.Capacity && before.Service == a.Service {
		return
	}
	c.loadDirty = true
	if a.ID == "" {
		return // the incarnation that answers has not announced itself
	}
	c.log.WithFields(log.Fields{
		"worker": a.ID, "born": a.StartedMillis, "service": a.Service, "draining": a.Draining,
		"milli_cpu": a.Capacity.MilliCPU, "sequence": a.Sequence,
	}).Info("agent: worker announced itself")
	if reported := boundLabels(a.Labels); len(reported) < len(a.Labels) {
		c.log.WithFields(log.Fields{"worker": a.ID, "labels": len(a.Labels), "reported": len(reported)}).
			Warn("agent: worker has too many labels, the others are not reported to entries")
	}
	c.reportWorkerInfo()
}

// reportWorkerInfo adds what the worker announced to the next report to each entry.
func (c *control) reportWorkerInfo() {
	for _, o := range c.owners {
		o.infoPending = true
	}
}

func (e workerLeft) apply(c *control, now time.Time) {
	if !c.table.HandleWorkerLeft(now, e.id) {
		c.log.WithField("worker", e.id).Info("agent: notice of the end of another worker ignored")
		return
	}
	c.log.WithField("worker", e.id).Info("agent: worker ends, it takes no more work")
	c.loadDirty = true
}

func (e stopRequested) apply(c *control, now time.Time) {
	c.log.Info("agent: stopping, takes no more work")
	c.table.StopAccepting(now)
	c.drained = e.drained
	c.loadDirty = true
}

func (e addressesReceived) apply(c *control, _ time.Time) { c.diallers.add(e.addresses) }

func (e diallerEnded) apply(c *control, _ time.Time) { c.diallers.remove(e.address) }

// sendHeartbeats sends a heartbeat on each link without a recent message. It proves that the link works, and carries the
// version of the catalog.
func (c *control) sendHeartbeats(now time.Time) {
	for id, o := range c.owners {
		if o.link == nil || !o.versionPending && now.Sub(o.echoSentAt) < o.heartbeatInterval(c.table.AwaitsResult(id)) {
			continue
		}
		o.echoSentAt, o.versionPending = now, false
		o.send(&wire.Heartbeat{
			SentMicros: clock.BootMicros(now), LastReceivedMicros: o.lastReceivedMicros, CatalogVersion: catalogsync.VersionOf(c.catalogs.snapshot),
			EvacuationRevision: c.evacuation.State().Revision,
		})
	}
}

// loadInterval returns the interval of load reports to an entry that requests one. Intervals above runs.HeartbeatInterval
// are rounded down to a multiple of it, so that a report replaces a heartbeat.
func loadInterval(requested time.Duration) time.Duration {
	if requested <= runs.HeartbeatInterval {
		return max(requested, minLoadInterval)
	}
	return requested / runs.HeartbeatInterval * runs.HeartbeatInterval
}

// idleInterval returns the interval of heartbeats on an idle link to an entry that requests one; 0 is an entry that requests
// none.
func idleInterval(requested time.Duration) time.Duration {
	return min(max(requested, runs.HeartbeatInterval), runs.MaxIdleHeartbeatInterval)
}

// dropSilentOwners ends the runs of entries that have been out of contact for their timeout.
func (c *control) dropSilentOwners(now time.Time) {
	for id, o := range c.owners {
		silence := o.silence(now)
		if silence < runs.OwnerTimeout || silence < o.timeout(c.table.AwaitsResult(id)) {
			continue
		}
		c.log.WithFields(log.Fields{"entry": o.id, "silent_ms": silence.Milliseconds()}).
			Warn("agent: entry is silent, its runs are ended")
		c.dropOwner(now, id, o)
	}
}

func (c *control) dropOwner(now time.Time, id runs.Owner, o *owner) {
	delete(c.owners, id)
	c.catalogs.sender.RemovePeer(id)
	c.table.DropOwner(now, id, o.lastContact().Add(runs.RunsEndedAfter))
	if o.link != nil {
		o.link.Close(link.ErrSilent)
	}
}
