// Package quota enforces the quotas of teams at one entry without a message per request.
//
// Each entry owns a share of a team's quota. The entries report their usage to each other at an interval
// (wire.QuotaUsage), and each computes its share from the demand of all entries: a floor that is the same for every
// entry, and the rest in proportion to demand. The package has no goroutines and no sockets. A Quotas must be used by
// one goroutine only.
//
// # Accuracy
//
// All entries compute the shares from the same values, which differ only by the age of the last report. A lower share
// takes effect at once and a higher one only after raiseDelayIntervals intervals, so the sum of the shares exceeds 1
// only while a report takes longer than that. If a peer has not reported for staleIntervals intervals, an entry assumes
// that this peer uses its equal part (1/n), and divides the rest among the entries whose reports still arrive. The parts
// of a partitioned network therefore add up to 1. Over any time T the n entries together admit at most
//
//	Rate*T + Burst + n*(largest job) + Rate*staleIntervals*interval for each change of the reachable peers
//
// The running limit is exceeded by at most one job per entry plus the tasks that are admitted during one interval.
package quota

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Parameters of the shares.
const (
	// floorShare is the part of a quota that is divided equally, so that an entry can admit the first tasks of a team
	// before the other entries know its demand.
	floorShare = 0.2
	// staleIntervals is the number of intervals without a report after which a peer counts as unreachable.
	staleIntervals = 3
	// raiseDelayIntervals is the number of intervals after which a higher share takes effect.
	raiseDelayIntervals = 2
	// demandSmoothing is the weight of the latest report in the exponential moving average of the demand.
	demandSmoothing = 0.5
	// minDemand is the demand in tasks per second below which a team counts as idle.
	minDemand = 0.01
)

// Parameters of the reporting interval.
const (
	// MinReportInterval is the reporting interval in a small deployment.
	MinReportInterval = time.Second
	// MaxReportInterval bounds the reporting interval in a large deployment.
	MaxReportInterval = 60 * time.Second
	// reportTeamBytes is the size of one team in a report, in bytes.
	reportTeamBytes = 24
	// reportOverheadBytes is the size of a report without teams, in bytes: 104 for the TCP and IP headers of the report
	// and its acknowledgement, and 16 for the message. It is not negligible, because teams with little traffic cause
	// many small reports.
	reportOverheadBytes = 120
	// reportBytesPerSecond bounds the rate at which an entry sends reports; it receives as many bytes.
	reportBytesPerSecond = 400
)

// ReportInterval returns the time between two reports of an entry with the given numbers of peers and active teams. It
// keeps the traffic within reportBytesPerSecond unless MaxReportInterval is reached.
func ReportInterval(peers, teams int) time.Duration {
	d := time.Duration(float64(peers*(reportOverheadBytes+teams*reportTeamBytes)) / reportBytesPerSecond * float64(time.Second))
	return min(max(d, MinReportInterval), MaxReportInterval)
}

// Limit is the quota of a team. In a field other than Burst, 0 means no limit.
type Limit struct {
	// Rate is in tasks per second, Burst in tasks. A Burst of 0 means the tasks of one second at Rate, but at least 1.
	Rate, Burst float64
	// Running is the largest number of admitted tasks that have not ended.
	Running int
}

func (l Limit) burst() float64 {
	if l.Burst > 0 {
		return l.Burst
	}
	return max(l.Rate, 1)
}

// usage is the demand and the number of running tasks of one entry for one team.
type usage struct {
	demand  float64 // tasks per second
	running int
}

// peer is the usage that another entry last reported.
type peer struct {
	seen     bool      // true after the first report
	at       time.Time // time of the last report
	interval time.Duration
	teams    map[string]usage
}

func (p *peer) stale(now time.Time) bool { return !p.seen || now.Sub(p.at) > staleIntervals*p.interval }

// team is the state of one team with a limit.
type team struct {
	limit               Limit
	own                 usage
	admitted, submitted uint32 // since the last report
	tokens              float64
	filledAt            time.Time
	share               float64 // share in effect
	pendingShare        float64 // higher share that takes effect at pendingShareAt; 0 if there is none
	pendingShareAt      time.Time
}

// Quotas holds the quotas of all teams at one entry.
type Quotas struct {
	teams      map[string]*team
	peers      map[string]*peer
	reportedAt time.Time
	interval   time.Duration
}

// New returns Quotas without limits or peers.
func New(now time.Time) *Quotas {
	return &Quotas{
		teams: make(map[string]*team), peers: make(map[string]*peer), reportedAt: now, interval: MinReportInterval,
	}
}

// SetLimits replaces the limits of all teams. A team that is not listed has no limit.
func (q *Quotas) SetLimits(now time.Time, limits map[string]Limit) {
	for name := range q.teams {
		if _, ok := limits[name]; !ok {
			delete(q.teams, name)
		}
	}
	for name, l := range limits {
		t := q.teams[name]
		if t == nil {
			t = &team{filledAt: now}
			q.teams[name] = t
			t.limit = l
			t.share = q.targetShare(now, name, t)
			t.tokens = l.burst() * t.share
			continue
		}
		t.refill(now)
		t.limit = l
		t.tokens = min(t.tokens, t.burst())
	}
}

// SetPeers replaces the set of the other entries. The ids are those in the list of entries.
func (q *Quotas) SetPeers(now time.Time, ids []string) {
	previous := q.peers
	q.peers = make(map[string]*peer, len(ids))
	for _, id := range ids {
		if p := previous[id]; p != nil {
			q.peers[id] = p
			continue
		}
		q.peers[id] = &peer{interval: q.interval, teams: make(map[string]usage)}
	}
	q.updateShares(now)
}

// ReceiveReport stores the usage that another entry reported. A report of an unknown entry is ignored.
func (q *Quotas) ReceiveReport(now time.Time, id string, u wire.QuotaUsage) {
	p := q.peers[id]
	if p == nil || u.IntervalMillis == 0 {
		return
	}
	p.seen, p.at = true, now
	p.interval = min(max(time.Duration(u.IntervalMillis)*time.Millisecond, MinReportInterval), MaxReportInterval)
	reportedTeams := make(map[string]bool, len(u.Teams))
	for _, t := range u.Teams {
		reportedTeams[t.Team] = true
		previous := p.teams[t.Team]
		p.teams[t.Team] = usage{smoothDemand(previous.demand, t.Submitted, u.IntervalMillis), int(t.Running)}
	}
	for name, previous := range p.teams {
		if reportedTeams[name] {
			continue
		}
		previous = usage{demand: smoothDemand(previous.demand, 0, u.IntervalMillis)}
		if previous.demand < minDemand {
			delete(p.teams, name)
			continue
		}
		p.teams[name] = previous
	}
	q.updateShares(now)
}

// smoothDemand returns the exponential moving average of the demand in tasks per second. The reporting entry and all
// receivers compute the same value.
func smoothDemand(previous float64, submitted, millis uint32) float64 {
	return previous + demandSmoothing*(float64(submitted)*1000/float64(millis)-previous)
}

// NextReportAt returns the time of the next report.
func (q *Quotas) NextReportAt() time.Time { return q.reportedAt.Add(q.interval) }

// TakeUsage returns the report for the other entries and starts a new interval. Teams without submitted, admitted or
// running tasks are omitted.
func (q *Quotas) TakeUsage(now time.Time) wire.QuotaUsage {
	millis := uint32(max(now.Sub(q.reportedAt).Milliseconds(), 1))
	u := wire.QuotaUsage{IntervalMillis: millis}
	for _, name := range slices.Sorted(maps.Keys(q.teams)) {
		t := q.teams[name]
		t.own.demand = smoothDemand(t.own.demand, t.submitted, millis)
		if t.submitted > 0 || t.own.running > 0 || t.admitted > 0 {
			u.Teams = append(u.Teams, wire.TeamUsage{
				Team: name, Admitted: t.admitted, Submitted: t.submitted, Running: uint32(t.own.running),
			})
		}
		t.admitted, t.submitted = 0, 0
	}
	q.reportedAt = now
	q.interval = ReportInterval(len(q.peers), len(u.Teams))
	q.updateShares(now)
	return u
}

// updateShares recomputes the shares of all teams.
func (q *Quotas) updateShares(now time.Time) {
	for name, t := range q.teams {
		t.setShare(now, q.targetShare(now, name, t), raiseDelayIntervals*q.interval)
	}
}

// targetShare returns the share of this entry according to the latest reports.
func (q *Quotas) targetShare(now time.Time, name string, t *team) float64 {
	reachable, demand := 1, max(t.own.demand, minDemand)
	total := demand
	for _, p := range q.peers {
		if p.stale(now) {
			continue
		}
		reachable++
		total += max(p.teams[name].demand, minDemand)
	}
	reachableShare := float64(reachable) / float64(len(q.peers)+1)
	return reachableShare * (floorShare/float64(reachable) + (1-floorShare)*demand/total)
}

// setShare applies a lower share at once and a higher one after a delay.
func (t *team) setShare(now time.Time, target float64, delay time.Duration) {
	t.refill(now)
	if target <= t.share {
		t.share, t.pendingShare = target, 0
		t.tokens = min(t.tokens, t.burst())
		return
	}
	if t.pendingShare == 0 {
		t.pendingShare, t.pendingShareAt = target, now.Add(delay)
		return
	}
	t.pendingShare = min(t.pendingShare, target)
	if now.Before(t.pendingShareAt) {
		return
	}
	t.share = t.pendingShare
	t.pendingShare = 0
	if target > t.share {
		t.pendingShare, t.pendingShareAt = target, now.Add(delay)
	}
}

func (t *team) burst() float64 { return t.limit.burst() * t.share }

// refill adds the tokens for the time since the last call.
func (t *team) refill(now time.Time) {
	if elapsed := now.Sub(t.filledAt); elapsed > 0 {
		t.tokens = min(t.tokens+t.limit.Rate*t.share*elapsed.Seconds(), t.burst())
		t.filledAt = now
	}
}

// Admit decides whether a job with this number of tasks is within the team's quota, and counts it. If the job is
// refused, retryAfter is the time after which a retry can succeed. A job larger than the burst is admitted when the
// bucket is full; the balance of tokens is then negative and has to be refilled before the next job. Release must be
// called for each admitted task.
func (q *Quotas) Admit(now time.Time, name string, tasks int) (ok bool, retryAfter time.Duration) {
	t := q.teams[name]
	if t == nil {
		return true, 0
	}
	t.submitted += uint32(tasks)
	if t.limit.Running > 0 && !q.fitsRunningLimit(now, name, t, tasks) {
		return false, q.interval
	}
	if t.limit.Rate > 0 {
		t.refill(now)
		if missing := min(float64(tasks), t.burst()) - t.tokens; missing > 0 {
			return false, time.Duration(math.Ceil(missing / (t.limit.Rate * t.share) * float64(time.Second)))
		}
		t.tokens -= float64(tasks)
	}
	t.admitted += uint32(tasks)
	t.own.running += tasks
	return true, 0
}

// fitsRunningLimit reports whether a job fits within the running limit. An entry that runs no tasks of the team may use
// all that the other entries leave, so that a job larger than its share can run.
func (q *Quotas) fitsRunningLimit(now time.Time, name string, t *team, tasks int) bool {
	others := 0
	for _, p := range q.peers {
		if !p.stale(now) {
			others += p.teams[name].running
		}
	}
	available := t.limit.Running - others
	if t.own.running == 0 && tasks <= available {
		return true
	}
	ownPart := int(math.Ceil(float64(t.limit.Running) * t.share))
	floor := int(math.Ceil(float64(t.limit.Running) * floorShare / float64(len(q.peers)+1)))
	return t.own.running+tasks <= max(min(ownPart, available), floor)
}

// Release subtracts tasks of an admitted job that have ended.
func (q *Quotas) Release(name string, tasks int) {
	if t := q.teams[name]; t != nil {
		t.own.running = max(t.own.running-tasks, 0)
	}
}

// State is the state of one team in the state dump. Demand is in tasks per second.
type State struct {
	Share   float64 `json:"share"`
	Tokens  float64 `json:"tokens"`
	Running int     `json:"running"`
	Demand  float64 `json:"demand"`
}

// States returns the state of each team with a limit.
func (q *Quotas) States(now time.Time) map[string]State {
	states := make(map[string]State, len(q.teams))
	for name, t := range q.teams {
		t.refill(now)
		states[name] = State{Share: t.share, Tokens: t.tokens, Running: t.own.running, Demand: t.own.demand}
	}
	return states
}
