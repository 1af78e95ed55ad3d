// Package quota keeps the quotas of teams at one entry without a message per request.
//
// Each entry owns a share of a team's quota. Entries tell each other their usage at an interval (wire.QuotaUsage), and
// each computes its share from the demand of all: a floor that is the same for every entry, and the rest in proportion
// to demand. The package has no goroutines and no sockets; a Quotas is used by one goroutine.
//
// # Error
//
// All entries compute the shares from the same figures, which differ only by the age of the last report. A share
// falls at once and rises only after riseDelay intervals, so the sum of the shares exceeds 1 only while a report takes
// longer than that. When the reports of a peer stop for staleAfter intervals, an entry assumes that this peer uses its
// equal part (1/n) and divides the rest among the entries that it still hears, so the parts of a partition add up to 1.
// Over any time T the n entries together admit at most
//
//	Rate*T + Burst + n*(largest job) + Rate*staleAfter*interval for each change of who hears whom
//
// The running limit is exceeded by at most one job per entry and by what is admitted during one interval.
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
	// before its demand is known to the others.
	floorShare = 0.2
	// staleAfter is the number of intervals without a report after which a peer counts as unreachable.
	staleAfter = 3
	// riseDelay is the number of intervals after which a higher share takes effect.
	riseDelay = 2
	// demandWeight is the weight of one report in the demand.
	demandWeight = 0.5
	// minDemand is the demand in tasks per second below which a team counts as idle.
	minDemand = 0.01
)

// Bounds of the reporting interval.
const (
	// MinInterval is the interval of reports in a small deployment.
	MinInterval = time.Second
	// MaxInterval bounds the interval in a large one.
	MaxInterval = 60 * time.Second
	// teamBytes is the size of one team in a report.
	teamBytes = 24
	// frameBytes is the size of a report without teams: 104 bytes of TCP and IP headers for the report and its
	// acknowledgement, and 16 of the message. Teams with little traffic make many small reports, so it counts.
	frameBytes = 120
	// reportBudget is the traffic in bytes per second that an entry sends as reports; it receives as much.
	reportBudget = 400
)

// Interval returns the time between two reports of an entry with so many peers and active teams, so that the reports
// stay within a fixed traffic.
func Interval(peers, teams int) time.Duration {
	d := time.Duration(float64(peers*(frameBytes+teams*teamBytes)) / reportBudget * float64(time.Second))
	return min(max(d, MinInterval), MaxInterval)
}

// Limit is the quota of a team. A zero field sets no limit.
type Limit struct {
	// Rate is in tasks per second, Burst in tasks. A Burst of 0 stands for one second at Rate.
	Rate, Burst float64
	// Running is the largest number of tasks that were admitted and have not ended.
	Running int
}

func (l Limit) burst() float64 {
	if l.Burst > 0 {
		return l.Burst
	}
	return max(l.Rate, 1)
}

// usage is the demand and the running tasks of one entry for one team.
type usage struct {
	demand  float64 // tasks per second
	running int
}

// peer is another entry.
type peer struct {
	heard    bool
	at       time.Time
	interval time.Duration
	teams    map[string]usage
}

func (p *peer) stale(now time.Time) bool { return !p.heard || now.Sub(p.at) > staleAfter*p.interval }

// team is the state of one team with a limit.
type team struct {
	limit            Limit
	own              usage
	admitted, wanted uint32 // since the last report
	tokens           float64
	filled           time.Time
	share            float64 // in force
	rising           float64 // higher share that takes effect at risesAt
	risesAt          time.Time
}

// Quotas holds the quotas of all teams at one entry.
type Quotas struct {
	teams    map[string]*team
	peers    map[string]*peer
	reported time.Time
	interval time.Duration
}

// New returns Quotas without limits or peers.
func New(now time.Time) *Quotas {
	return &Quotas{
		teams: make(map[string]*team), peers: make(map[string]*peer), reported: now, interval: MinInterval,
	}
}

// SetLimits replaces the limits of all teams. A team that is not listed has none.
func (q *Quotas) SetLimits(now time.Time, limits map[string]Limit) {
	for name := range q.teams {
		if _, ok := limits[name]; !ok {
			delete(q.teams, name)
		}
	}
	for name, l := range limits {
		t := q.teams[name]
		if t == nil {
			t = &team{filled: now}
			q.teams[name] = t
			t.limit = l
			t.share = q.target(now, name, t)
			t.tokens = l.burst() * t.share
			continue
		}
		t.fill(now)
		t.limit = l
		t.tokens = min(t.tokens, t.burst())
	}
}

// SetPeers replaces the set of the other entries, as the list of entries names them.
func (q *Quotas) SetPeers(now time.Time, ids []string) {
	former := q.peers
	q.peers = make(map[string]*peer, len(ids))
	for _, id := range ids {
		if p := former[id]; p != nil {
			q.peers[id] = p
			continue
		}
		q.peers[id] = &peer{interval: q.interval, teams: make(map[string]usage)}
	}
	q.share(now)
}

// Report stores the usage that another entry reported. A report of an unknown entry is ignored.
func (q *Quotas) Report(now time.Time, id string, u wire.QuotaUsage) {
	p := q.peers[id]
	if p == nil || u.IntervalMillis == 0 {
		return
	}
	p.heard, p.at = true, now
	p.interval = min(max(time.Duration(u.IntervalMillis)*time.Millisecond, MinInterval), MaxInterval)
	seen := make(map[string]bool, len(u.Teams))
	for _, t := range u.Teams {
		seen[t.Team] = true
		former := p.teams[t.Team]
		p.teams[t.Team] = usage{smooth(former.demand, t.Wanted, u.IntervalMillis), int(t.Running)}
	}
	for name, former := range p.teams {
		if seen[name] {
			continue
		}
		former = usage{demand: smooth(former.demand, 0, u.IntervalMillis)}
		if former.demand < minDemand {
			delete(p.teams, name)
			continue
		}
		p.teams[name] = former
	}
	q.share(now)
}

// smooth averages the demand. The reporter and all receivers compute the same value.
func smooth(former float64, wanted, millis uint32) float64 {
	return former + demandWeight*(float64(wanted)*1000/float64(millis)-former)
}

// Due returns the time of the next report.
func (q *Quotas) Due() time.Time { return q.reported.Add(q.interval) }

// Usage returns the report for the other entries and starts a new interval. Idle teams are left out.
func (q *Quotas) Usage(now time.Time) wire.QuotaUsage {
	millis := uint32(max(now.Sub(q.reported).Milliseconds(), 1))
	u := wire.QuotaUsage{IntervalMillis: millis}
	for _, name := range slices.Sorted(maps.Keys(q.teams)) {
		t := q.teams[name]
		t.own.demand = smooth(t.own.demand, t.wanted, millis)
		if t.wanted > 0 || t.own.running > 0 || t.admitted > 0 {
			u.Teams = append(u.Teams, wire.TeamUsage{
				Team: name, Admitted: t.admitted, Wanted: t.wanted, Running: uint32(t.own.running),
			})
		}
		t.admitted, t.wanted = 0, 0
	}
	q.reported = now
	q.interval = Interval(len(q.peers), len(u.Teams))
	q.share(now)
	return u
}

// share computes the shares again.
func (q *Quotas) share(now time.Time) {
	for name, t := range q.teams {
		t.setShare(now, q.target(now, name, t), riseDelay*q.interval)
	}
}

// target returns the share of this entry by what is known now.
func (q *Quotas) target(now time.Time, name string, t *team) float64 {
	heard, demand := 1, max(t.own.demand, minDemand)
	total := demand
	for _, p := range q.peers {
		if p.stale(now) {
			continue
		}
		heard++
		total += max(p.teams[name].demand, minDemand)
	}
	group := float64(heard) / float64(len(q.peers)+1)
	return group * (floorShare/float64(heard) + (1-floorShare)*demand/total)
}

// setShare lowers the share at once and raises it after a delay.
func (t *team) setShare(now time.Time, target float64, delay time.Duration) {
	t.fill(now)
	if target <= t.share {
		t.share, t.rising = target, 0
		t.tokens = min(t.tokens, t.burst())
		return
	}
	if t.rising == 0 {
		t.rising, t.risesAt = target, now.Add(delay)
		return
	}
	t.rising = min(t.rising, target)
	if now.Before(t.risesAt) {
		return
	}
	t.share = t.rising
	t.rising = 0
	if target > t.share {
		t.rising, t.risesAt = target, now.Add(delay)
	}
}

func (t *team) burst() float64 { return t.limit.burst() * t.share }

// fill adds the tokens for the time since the last call.
func (t *team) fill(now time.Time) {
	if span := now.Sub(t.filled); span > 0 {
		t.tokens = min(t.tokens+t.limit.Rate*t.share*span.Seconds(), t.burst())
		t.filled = now
	}
}

// Admit decides whether a job of so many tasks is within the team's quota and counts it. A refusal carries the time
// after which a repetition makes sense. A job that is larger than the burst is admitted when the bucket is full, and
// what it took too much is paid back before the next one. Release must be called for each admitted task.
func (q *Quotas) Admit(now time.Time, name string, tasks int) (ok bool, retryAfter time.Duration) {
	t := q.teams[name]
	if t == nil {
		return true, 0
	}
	t.wanted += uint32(tasks)
	if t.limit.Running > 0 && !q.roomToRun(now, name, t, tasks) {
		return false, q.interval
	}
	if t.limit.Rate > 0 {
		t.fill(now)
		if missing := min(float64(tasks), t.burst()) - t.tokens; missing > 0 {
			return false, time.Duration(math.Ceil(missing / (t.limit.Rate * t.share) * float64(time.Second)))
		}
		t.tokens -= float64(tasks)
	}
	t.admitted += uint32(tasks)
	t.own.running += tasks
	return true, 0
}

// roomToRun tells whether a job fits under the running limit. An entry that runs nothing of the team may use what the
// others leave, so that a job larger than its share can run.
func (q *Quotas) roomToRun(now time.Time, name string, t *team, tasks int) bool {
	others := 0
	for _, p := range q.peers {
		if !p.stale(now) {
			others += p.teams[name].running
		}
	}
	left := t.limit.Running - others
	if t.own.running == 0 && tasks <= left {
		return true
	}
	allowed := int(math.Ceil(float64(t.limit.Running) * t.share))
	least := int(math.Ceil(float64(t.limit.Running) * floorShare / float64(len(q.peers)+1)))
	return t.own.running+tasks <= max(min(allowed, left), least)
}

// Release counts tasks of an admitted job that have ended.
func (q *Quotas) Release(name string, tasks int) {
	if t := q.teams[name]; t != nil {
		t.own.running = max(t.own.running-tasks, 0)
	}
}

// State describes one team for the state dump.
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
		t.fill(now)
		states[name] = State{Share: t.share, Tokens: t.tokens, Running: t.own.running, Demand: t.own.demand}
	}
	return states
}
