package scheduler

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/runs"
)

// This file decides, while the demand exceeds the capacity of a service, which of the arriving jobs begin.
//
// It answers a peak of 1.5 to 2.5 times the capacity that lasts for seconds. Without it, each entry begins what it can place:
// an entry with few callers places its least urgent work while urgent work waits at one with many callers, all jobs begin just
// before they are late, and a fifth of the capacity goes into jobs whose answers are useless.
//
// All entries admit the same fraction of the demand of a class, that is of a priority. It follows from the demand at all
// entries together, which each agent adds up and reports, and from the capacity of all workers. Within a class, the queues, and
// within a queue the groups of jobs, divide what is admitted at this entry. Nothing is refused while the demand is below the
// capacity.

// Parameters of the admission by shares.
const (
	// classes is the number of priorities that are told apart; lower ones are added to the last.
	classes = runs.ReportedPriorities
	// demandWindow is the time constant of the demand that entries report. It is short, so that the excess is refused soon
	// after the start of a peak, and covers several jobs of each common kind.
	demandWindow = 300 * time.Millisecond
	// memberWindow is the time constant of the demand of queues and groups at one entry, which is less frequent.
	memberWindow = time.Second
	// sharesInterval is the interval at which the shares are computed. Load reports arrive at most as often.
	sharesInterval = 20 * time.Millisecond
	// idleDivideInterval is the interval at which queues and groups are tidied up while no job is refused.
	idleDivideInterval = time.Second
	// maxSharesInterval bounds the time for which one correction of the utilisation counts, after a pause of the process.
	maxSharesInterval = 100 * time.Millisecond

	// targetRoom is the share of the slots for tasks of mean size that is free. With less, tasks wait and jobs of several tasks
	// are late; with more, capacity is idle. In the replay, 0.03 to 0.08 differ by less than its noise.
	targetRoom = 0.05
	// ampleRoom is the share of free slots from which no job is refused, whatever the demand.
	ampleRoom = 0.3
	// utilisationStep is the change of the utilisation per second when no slot is free; maxRaise is the largest number of such
	// steps upwards, with much room after a peak.
	utilisationStep = 0.6
	maxRaise        = 4
	// waitStep is the number of steps by which the utilisation falls in addition while jobs wait for longFirstWait for their
	// first offer.
	waitStep      = 2
	longFirstWait = 100 * time.Millisecond
	// minUtilisation bounds the utilisation. maxUtilisation is the one from which a peak starts; the capacity is not known
	// better, because tasks leave gaps and take longer than estimated.
	minUtilisation, maxUtilisation = 0.6, 1.0

	// peakFactor is the demand as a multiple of the capacity from which there is a peak, and minPeakAge how long it must last
	// until jobs are refused. Until then those in excess are deferred: they are served after a peak of half a second. The
	// measured demand falls 0.4 s after the end of a peak of twice the capacity.
	peakFactor = 1.15
	minPeakAge = 1250 * time.Millisecond
	// peakOverAfter is the time without excess after which a peak is over. The room varies from one moment to the next.
	peakOverAfter = 300 * time.Millisecond

	// minMemberJobs is the number of recent jobs from which a queue or group has a share of its own. The demand of rarer ones is
	// not known; they are admitted as one.
	minMemberJobs = 5
	// maxRestWeight bounds the weight of all rare members together, so that a frequent one is not starved by them.
	maxRestWeight = 7
	// maxMembers bounds the members of one level. With more, the rare ones are not recorded.
	maxMembers = 4096
	// forgottenJobs is the number of recent jobs below which a member is forgotten.
	forgottenJobs = 0.05
	// needsWeight is the weight of one task in the mean needs.
	needsWeight = 0.02
)

// classWeight returns the weight of a class. Each class is entitled to twice the share of the next less urgent one, so that
// none is starved.
func classWeight(class int) float64 { return float64(int(1) << (classes - 1 - class)) }

// serviceShares is the admission state of one service.
type serviceShares struct {
	demand      [classes]decayedRate // at this entry, in thousandths of a core times milliseconds
	total       [classes]float64     // at all entries, in thousandths of a core
	capacity    float64              // of all workers, in thousandths of a core
	fraction    [classes]float64     // of the demand that is admitted
	queues      [classes]division
	groups      map[string]*division // by the name of the queue
	meanNeeds   float64              // of a task, in thousandths of a core
	utilisation float64              // share of the capacity that the admitted demand may take
	updatedAt   time.Time
	dividedAt   time.Time      // when queues and groups were last divided
	peakSince   time.Time      // since when there has been a peak; zero if there is none
	lastExcess  time.Time      // when the demand was last far above the capacity
	spare       float64        // work of deferred jobs that may begin
	deferred    []*Job         // jobs that arrived in excess, in this order
	refused     [classes]int64 // number of jobs
}

// division divides what is admitted of a demand among members, which are queues or groups of a queue. Each member that is
// frequent has a share of its own; the rare ones have one together.
type division struct {
	members map[uint64]*member
	rest    member
}

// member is a queue, a group of a queue, or all rare ones together.
type member struct {
	work, jobs decayedRate
	isFrequent bool
	fraction   float64 // of the demand that is admitted
	credit     float64 // number of jobs that may begin
}

func newServiceShares() *serviceShares {
	return &serviceShares{groups: make(map[string]*division), utilisation: maxUtilisation, fraction: [classes]float64{1, 1, 1, 1}}
}

// admits records the demand of a job that arrives, and reports whether it may begin.
func (s *Scheduler) admits(now time.Time, j *Job) bool {
	shares := s.shares[j.Queue.Service]
	if shares == nil {
		shares = newServiceShares()
		s.shares[j.Queue.Service] = shares
	}
	class, work := classOf(j), j.work()
	for _, t := range j.tasks {
		shares.meanNeeds += needsWeight * (float64(max(t.step.Needs.MilliCPU, 1)) - shares.meanNeeds)
	}
	shares.demand[class].add(now, demandWindow, work)
	owner := shares.queues[class].record(now, hashOf(j.Queue.Name), work)
	if groups := shares.groupsOf(j.Queue.Name); s.config.ShareByGroup && groups != nil {
		group := groups.record(now, groupOf(j), work)
		if owner.isFrequent {
			owner = group
		}
	}
	s.updateShares(now, j.Queue.Service, shares)
	return owner.fraction >= 1 || shares.fraction[class] >= 1 || owner.takeCredit()
}

// deferOrRefuse handles a job that arrives and whose share leaves no room for it.
func (s *Scheduler) deferOrRefuse(now time.Time, j *Job) {
	shares := s.shares[j.Queue.Service]
	if shares.isLongPeak(now) {
		s.refuseForShare(shares, j)
		return
	}
	shares.deferred = append(shares.deferred, j)
}

// isLongPeak reports whether the demand has been far above the capacity for minPeakAge.
func (shares *serviceShares) isLongPeak(now time.Time) bool {
	return !shares.peakSince.IsZero() && now.Sub(shares.peakSince) >= minPeakAge
}

// recordPeak records whether the demand is far above the capacity.
func (shares *serviceShares) recordPeak(now time.Time) {
	demand := 0.0
	for _, d := range shares.total {
		demand += d
	}
	switch {
	case shares.refuses() && demand > peakFactor*shares.capacity:
		shares.lastExcess = now
		if shares.peakSince.IsZero() {
			shares.peakSince = now
		}
	case now.Sub(shares.lastExcess) >= peakOverAfter:
		shares.peakSince = time.Time{}
	}
}

// handleDeferred lets the deferred jobs begin as far as the demand leaves capacity, and refuses them when the peak lasts or they
// can't be complete before their deadline any more.
func (s *Scheduler) handleDeferred(now time.Time, shares *serviceShares, elapsed time.Duration) {
	shares.spare = min(shares.spare+shares.spareAt(now)*float64(elapsed.Milliseconds()), shares.capacity*float64(maxSharesInterval.Milliseconds()))
	kept := shares.deferred[:0]
	for _, j := range shares.deferred {
		switch {
		case j.answered:
		case shares.isLongPeak(now), j.Deadline.Sub(now) < slices.Max(j.chainTimes):
			s.refuseForShare(shares, j)
		case shares.refuses() || shares.spare <= 0:
			kept = append(kept, j)
		default:
			shares.spare -= j.work()
			s.enqueueReadyTasks(j)
		}
	}
	clear(shares.deferred[len(kept):])
	shares.deferred = kept
}

// spareAt returns the part of this entry in the capacity that the demand leaves, in thousandths of a core.
func (shares *serviceShares) spareAt(now time.Time) float64 {
	total, own := 0.0, 0.0
	for class, d := range shares.demandAt(now) {
		total, own = total+shares.total[class], own+float64(d)
	}
	return max(shares.capacity*shares.utilisation-total, 0) * fractionOf(own, total)
}

// work returns the work of all tasks of the job.
func (j *Job) work() float64 {
	work := 0.0
	for _, t := range j.tasks {
		work += t.work()
	}
	return work
}

// refuseForShare refuses a job of which nothing was offered. The callers of a kind of which few are served are told to wait for
// longer, so that their next submissions do not add to the demand.
func (s *Scheduler) refuseForShare(shares *serviceShares, j *Job) {
	shares.refused[classOf(j)]++
	fraction := shares.fraction[classOf(j)]
	retryAfter := time.Duration(float64(overloadRetryAfter) / max(fraction, float64(overloadRetryAfter)/float64(maxOverloadRetryAfter)))
	s.answerJob(j, NotRun, "the share of its kind in the capacity is used up", retryAfter)
}

func classOf(j *Job) int { return min(max(j.Queue.Priority, 0), classes-1) }

// hashOf returns the key of a member.
func hashOf(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// groupOf returns the group of a job within its queue: the jobs with the same payload. A job names no caller, all callers can
// come through one address of the load balancer, and its queue has been chosen by the host and path of the request already.
func groupOf(j *Job) uint64 { return hashOf(j.Spec.Payload) }

// groupsOf returns the groups of a queue; nil if too many queues are known.
func (shares *serviceShares) groupsOf(queue string) *division {
	groups := shares.groups[queue]
	if groups == nil && len(shares.groups) < maxMembers {
		groups = &division{}
		shares.groups[queue] = groups
	}
	return groups
}

// record adds a job to the demand of a member, and returns the member whose share it takes part in.
func (d *division) record(now time.Time, key uint64, work float64) *member {
	m := d.members[key]
	if m == nil && len(d.members) < maxMembers {
		if d.members == nil {
			d.members = make(map[uint64]*member)
		}
		m = &member{fraction: 1}
		d.members[key] = m
	}
	if m != nil {
		m.work.add(now, memberWindow, work)
		m.jobs.add(now, memberWindow, 1)
		if m.isFrequent {
			return m
		}
	}
	d.rest.work.add(now, memberWindow, work)
	return &d.rest
}

// takeCredit reports whether a job may begin, so that the fraction of them begins.
func (m *member) takeCredit() bool {
	m.credit = min(m.credit+m.fraction, 2)
	if m.credit < 1 {
		return false
	}
	m.credit--
	return true
}

// updateShares computes the fractions of the demand that are admitted, once per sharesInterval.
func (s *Scheduler) updateShares(now time.Time, service string, shares *serviceShares) {
	elapsed := now.Sub(shares.updatedAt)
	if elapsed < sharesInterval && elapsed >= 0 {
		return
	}
	shares.updatedAt = now
	for class, d := range shares.demandAt(now) {
		shares.total[class] = float64(d)
	}
	shares.capacity = 0
	free, slots := 0.0, 0.0
	for _, a := range s.agentList {
		if !a.linked || !a.hasLoad || !a.load.Open || a.evacuated || a.worker.Service != service {
			continue
		}
		shares.capacity += float64(a.worker.MilliCPU) / a.slowdown()
		slots += max(math.Floor(float64(a.worker.MilliCPU)/shares.meanNeeds), 1)
		free += max(math.Floor(float64(a.load.FreeMilliCPU-a.unreportedMilliCPU)/shares.meanNeeds), 0)
		for class, d := range a.load.Demand[:min(len(a.load.Demand), classes)] {
			shares.total[class] = max(shares.total[class], float64(d)) // an agent that is new knows fewer entries
		}
	}
	room := 1.0
	if slots > 0 {
		room = free / slots
	}
	shares.adjustUtilisation(room, s.longestFirstWait(now, service), min(max(elapsed, 0), maxSharesInterval))
	// A new entry is linked to few of the agents at first.
	shares.divide(now, room >= ampleRoom || now.Sub(s.firstWorkerAt) < settledAfter)
	shares.recordPeak(now)
	s.handleDeferred(now, shares, min(max(elapsed, 0), maxSharesInterval))
}

// longestFirstWait returns how long a job of the service has waited of which nothing was offered yet.
func (s *Scheduler) longestFirstWait(now time.Time, service string) time.Duration {
	longest := time.Duration(0)
	for _, t := range s.waiting.tasks {
		if t.job.OffersMade == 0 && t.job.Queue.Service == service {
			longest = max(longest, now.Sub(t.job.Arrived))
		}
	}
	return longest
}

// adjustUtilisation raises the utilisation while more room than necessary is free, and lowers it while less is or jobs wait. All entries see nearly the same room, and so come to nearly the same utilisation. It exceeds maxUtilisation only while
// jobs are refused although there is room, as when the entry has links to a part of the agents.
func (shares *serviceShares) adjustUtilisation(room float64, firstWait, elapsed time.Duration) {
	change := min(room/targetRoom-1, maxRaise)
	if change < 0 {
		change -= waitStep * min(float64(firstWait)/float64(longFirstWait), 1)
	}
	shares.utilisation = max(shares.utilisation+utilisationStep*change*elapsed.Seconds(), minUtilisation)
	if !shares.refuses() {
		shares.utilisation = min(shares.utilisation, maxUtilisation)
	}
}

// refuses reports whether jobs of some class are refused.
func (shares *serviceShares) refuses() bool { return slices.Min(shares.fraction[:]) < 1 }

// divide computes the fractions of classes, queues and groups.
func (shares *serviceShares) divide(now time.Time, admitAll bool) {
	weights := make([]float64, classes)
	for class := range weights {
		weights[class] = classWeight(class)
	}
	for class, entitled := range entitlements(shares.total[:], weights, shares.capacity*shares.utilisation) {
		shares.fraction[class] = 1
		if !admitAll {
			shares.fraction[class] = fractionOf(entitled, shares.total[class])
		}
	}
	if !shares.refuses() && now.Sub(shares.dividedAt) < idleDivideInterval {
		return // no member's fraction is used
	}
	shares.dividedAt = now
	for class := range shares.queues {
		shares.queues[class].divide(now, shares.fraction[class])
	}
	for name, groups := range shares.groups {
		fraction, known := shares.queueFraction(hashOf(name))
		if !known {
			delete(shares.groups, name)
			continue
		}
		groups.divide(now, fraction)
	}
}

// queueFraction returns the fraction of the demand of a queue that is admitted, and whether the queue is known.
func (shares *serviceShares) queueFraction(key uint64) (float64, bool) {
	for class := range shares.queues {
		if m := shares.queues[class].members[key]; m != nil {
			return m.fraction, true
		}
	}
	return 0, false
}

// divide divides the fraction of the demand that is admitted among the members.
func (d *division) divide(now time.Time, fraction float64) {
	frequent := make([]*member, 0, minMemberJobs)
	rare, sum := 0, 0.0
	for key, m := range d.members {
		jobs := m.jobs.perNanosecond(now, memberWindow) * float64(memberWindow)
		if jobs < forgottenJobs {
			delete(d.members, key)
			continue
		}
		m.isFrequent = jobs >= minMemberJobs
		if m.isFrequent {
			frequent = append(frequent, m)
		} else {
			rare++
		}
	}
	members := append(frequent, &d.rest)
	demands, weights := make([]float64, len(members)), make([]float64, len(members))
	for i, m := range members {
		demands[i], weights[i] = m.work.perNanosecond(now, memberWindow), 1
		sum += demands[i]
	}
	weights[len(weights)-1] = float64(min(max(rare, 1), maxRestWeight))
	for i, entitled := range entitlements(demands, weights, sum*fraction) {
		members[i].fraction = min(fractionOf(entitled, demands[i]), 1)
	}
	for _, m := range d.members {
		if !m.isFrequent {
			m.fraction = d.rest.fraction
		}
	}
}

func fractionOf(part, whole float64) float64 {
	if whole <= 0 {
		return 1
	}
	return part / whole
}

// entitlements divides a capacity among demands. Each one gets all that it demands if that is less than its share by weight;
// what it leaves is divided among the others.
func entitlements(demands, weights []float64, capacity float64) []float64 {
	entitled := make([]float64, len(demands))
	order := make([]int, len(demands))
	total := 0.0
	for i := range demands {
		order[i] = i
		total += weights[i]
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(demands[a]/weights[a], demands[b]/weights[b]) })
	for _, i := range order {
		entitled[i] = min(demands[i], capacity*weights[i]/total)
		capacity -= entitled[i]
		total -= weights[i]
	}
	return entitled
}

// demandAt returns the work of the jobs that arrive at this entry, by priority, in thousandths of a core.
func (shares *serviceShares) demandAt(now time.Time) []int64 {
	demand := make([]int64, classes)
	for class := range demand {
		demand[class] = int64(shares.demand[class].perNanosecond(now, demandWindow) * float64(time.Millisecond))
	}
	return demand
}

// Demand returns the work of the jobs that arrive at this entry for the service of an agent, by priority, in thousandths of a
// core. The last element includes all remaining priorities. It is nil if there is none.
func (s *Scheduler) Demand(now time.Time, id AgentID) []int64 {
	a := s.agents[id]
	if a == nil || s.shares[a.worker.Service] == nil {
		return nil
	}
	demand := s.shares[a.worker.Service].demandAt(now)
	if slices.Max(demand) == 0 {
		return nil
	}
	return demand
}

// ShareSummary is the state of the admission to a service, for metrics and dumps. The lists are by priority.
type ShareSummary struct {
	Service string `json:"service"`
	// DemandMilliCPU is the demand at all entries, CapacityMilliCPU the capacity of all workers, in thousandths of a core.
	DemandMilliCPU   []int64 `json:"demand_milli_cpu"`
	CapacityMilliCPU int64   `json:"capacity_milli_cpu"`
	// Utilisation is the share of the capacity that the admitted demand may take.
	Utilisation float64 `json:"utilisation"`
	// Admitted is the fraction of the demand that is admitted, Borrowed the share of the admitted work that exceeds the
	// entitlement by weight.
	Admitted []float64 `json:"admitted"`
	Borrowed []float64 `json:"borrowed"`
	Refused  []int64   `json:"refused"` // jobs at this entry since its start
}

// Shares returns the state of the admission to each service, in the order of their names.
func (s *Scheduler) Shares() []ShareSummary {
	all := make([]ShareSummary, 0, len(s.shares))
	weights := 0.0
	for class := range classes {
		weights += classWeight(class)
	}
	for service, shares := range s.shares {
		summary := ShareSummary{
			Service: service, CapacityMilliCPU: int64(shares.capacity), Utilisation: shares.utilisation, Admitted: slices.Clone(shares.fraction[:]),
			Refused: slices.Clone(shares.refused[:]), Borrowed: make([]float64, classes),
		}
		for class, total := range shares.total {
			summary.DemandMilliCPU = append(summary.DemandMilliCPU, int64(total))
			if admitted := total * shares.fraction[class]; admitted > 0 && shares.refuses() {
				entitled := shares.capacity * shares.utilisation * classWeight(class) / weights
				summary.Borrowed[class] = max(admitted-entitled, 0) / admitted
			}
		}
		all = append(all, summary)
	}
	slices.SortFunc(all, func(a, b ShareSummary) int { return cmp.Compare(a.Service, b.Service) })
	return all
}
