package entry

import (
	"fmt"
	"strings"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	table "github.com/coltsfootspur/coltsfootspur/internal/submission"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// submission is a request to submit, query or cancel a job, from a caller or forwarded by another entry.
type submission struct {
	action   wire.ForwardAction
	job      wire.Job
	key      wire.KeyHash
	deadline time.Time
	// forwarded is set for a request of another entry. listVersion is then the version of the sender's list, and
	// sentToHolder is set if the sender takes this entry for the holder of the key.
	forwarded    bool
	listVersion  uint64
	sentToHolder bool
	reply        func(*wire.ForwardReply)
	// onKeyIssued is called with the key of a job that was submitted without one.
	onKeyIssued func(key string)
}

// issuedPrefix is the prefix of the keys that an entry issues for jobs without one. Only the run of the entry that issued
// the key can start such a job.
const issuedPrefix = "issued."

// lookupTimeout is the time within which a query or a cancellation is answered.
const lookupTimeout = 5 * time.Second

// handleCallerRequest handles a request that a caller sent to this entry.
func (c *control) handleCallerRequest(s submission) {
	if s.action == wire.ForwardSubmit {
		service := c.services[s.job.Service]
		if service == nil && c.inWarmUp() {
			c.timers.add(c.now.Add(warmUpRetryDelay), func(time.Time) { c.handleCallerRequest(s) })
			return
		}
		refusal := c.checkJob(service, &s.job)
		if refusal != nil {
			if s.job.Key != "" {
				// An entry that was disconnected may lack a document under which another one has run the key.
				refusal.Answer = c.downgradeUnprovenNotRun(refusal.Answer)
			}
			s.reply(refusal)
			return
		}
		s.deadline = c.now.Add(time.Duration(s.job.BudgetMillis) * time.Millisecond)
		if s.job.Key == "" {
			c.submitWithoutKey(s, service)
			return
		}
	} else {
		s.deadline = c.now.Add(lookupTimeout)
	}
	if strings.HasPrefix(s.job.Key, issuedPrefix) {
		c.handleIssuedKeyRequest(s)
		return
	}
	s.key = placement.HashKey(s.job.Service, s.job.Key)
	c.routeRequest(s)
}

// Times of the warm-up of an entry that has just started and has no documents yet. Requests wait for the documents instead
// of being refused.
const (
	warmUpTime       = 2 * time.Second
	warmUpRetryDelay = 20 * time.Millisecond
)

// inWarmUp reports whether this entry has just started and has no documents yet.
func (c *control) inWarmUp() bool { return len(c.services) == 0 && c.now.Sub(c.startedAt) < warmUpTime }

// checkJob fills in the team and the time budget of a job from the document of its service. It returns the refusal of a job
// that the document does not allow, or nil.
func (c *control) checkJob(service *service, job *wire.Job) *wire.ForwardReply {
	if service == nil {
		return notRunReply(wire.ReasonNoService, "there is no document for this service")
	}
	kind, ok := service.document.Kind(job.Kind)
	if !ok {
		return notRunReply(wire.ReasonNoKind, "the document of the service has no such kind")
	}
	if largest := largestBody(job); largest > service.document.MaxBody {
		return notRunReply(wire.ReasonTooLarge, fmt.Sprintf("a body is larger than the %d bytes that the service allows",
			service.document.MaxBody))
	}
	job.Team = service.document.Team
	job.BudgetMillis = uint32(jobTimeBudget(kind, job.BudgetMillis).Milliseconds())
	return nil
}

// largestBody returns the size of the largest body of a job's tasks in bytes.
func largestBody(job *wire.Job) int {
	largest := 0
	for i := range job.Tasks {
		largest = max(largest, len(job.Tasks[i].Body))
	}
	return largest
}

// submitWithoutKey issues a key for a job without one and runs the job at this entry.
func (c *control) submitWithoutKey(s submission, service *service) {
	key := fmt.Sprintf("%s%s.%x.%x", issuedPrefix, c.options.ID, c.incarnation, c.lastJobID+1)
	s.onKeyIssued(key)
	s.key = placement.HashKey(s.job.Service, key)
	if refusal := c.admitToQuota(&s.job); refusal != nil {
		s.reply(refusal)
		return
	}
	c.startJob(s, service, 0)
}

// handleIssuedKeyRequest answers a request that names an issued key. Such a job can be found only while it runs, and only
// at the entry that issued the key.
func (c *control) handleIssuedKeyRequest(s submission) {
	j := c.jobsByKey[placement.HashKey(s.job.Service, s.job.Key)]
	switch {
	case j == nil && s.action == wire.ForwardSubmit:
		s.reply(unknownReply(wire.ReasonKeyExpired, "an issued key cannot be submitted again"))
	case j == nil:
		s.reply(&wire.ForwardReply{Status: wire.ForwardNotFound})
	default:
		c.joinJob(s, j)
	}
}

// admitToQuota takes the tasks of a new job from the quota of its team. It returns the refusal if the quota does not
// suffice, or nil.
func (c *control) admitToQuota(job *wire.Job) *wire.ForwardReply {
	ok, retryAfter := c.quotas.Admit(c.now, job.Team, len(job.Tasks))
	c.metrics.countQuota(job, ok)
	if ok {
		return nil
	}
	reply := notRunReply(wire.ReasonQuota, "the quota of the team is used up")
	reply.Answer.RetryAfterMillis = uint32(retryAfter.Milliseconds())
	return reply
}

// routeRequest applies the decision of the table on a request with a caller's key.
func (c *control) routeRequest(s submission) {
	request := table.Submission{
		Key: s.key, Digest: s.job.Digest, Region: c.homeRegion(s.job.Service),
		Deadline: s.deadline, ListVersion: s.listVersion, ForHeldKey: s.sentToHolder,
	}
	if created, ok := placement.KeyTime(s.job.Key); ok {
		request.CreatedAt = created
	}
	if s.action == wire.ForwardSubmit {
		c.applyDecision(s, request, c.table.Submit(c.now, request))
		return
	}
	c.applyDecision(s, request, c.table.Lookup(c.now, request))
}

// homeRegion returns the home region of a service, or "" if it has none or no document.
func (c *control) homeRegion(name string) string {
	if service := c.services[name]; service != nil {
		return service.document.HomeRegion
	}
	return ""
}

// applyDecision carries out a decision of the table.
func (c *control) applyDecision(s submission, request table.Submission, d table.Decision) {
	switch d.Kind {
	case table.Run:
		c.runJob(s, d.Job)
	case table.Join:
		c.joinJob(s, c.tableJobs[d.Job])
	case table.Stored:
		c.metrics.storedAnswers.Add(1)
		s.reply(&wire.ForwardReply{Status: wire.ForwardAnswered, Answer: d.Answer})
	case table.Conflict:
		s.reply(&wire.ForwardReply{Status: wire.ForwardConflict})
	case table.Wait:
		c.waitForRecovery(s, d.Until)
	case table.ForwardToHolder:
		c.forwardTo(d.Holder, true, s)
	case table.NotHome:
		c.forwardToHome(s, request)
	case table.Missing:
		s.reply(&wire.ForwardReply{Status: wire.ForwardNotFound})
	default:
		s.reply(&wire.ForwardReply{Status: wire.ForwardAnswered, Answer: c.downgradeUnprovenNotRun(d.Answer)})
	}
}

// forwardToHome forwards a caller's request to the home of its key. A request that another entry forwarded is returned to
// it together with the list of this entry.
func (c *control) forwardToHome(s submission, request table.Submission) {
	if s.forwarded {
		list := c.list
		s.reply(&wire.ForwardReply{Status: wire.ForwardNotHome, List: &list})
		return
	}
	home, ok := c.table.Home(request.Region, request.Key)
	if !ok {
		s.reply(unknownReply(wire.ReasonHomeUnreachable, "no entry can be the home of this key"))
		return
	}
	c.forwardTo(home, false, s)
}

// runJob runs a job whose key is new. The table has already recorded the key as running.
func (c *control) runJob(s submission, tableJob table.Job) {
	service := c.services[s.job.Service]
	refusal := c.checkJob(service, &s.job)
	if refusal == nil {
		refusal = c.admitToQuota(&s.job)
	}
	if refusal != nil {
		refusal.Answer = c.downgradeUnprovenNotRun(c.table.Complete(c.now, tableJob, refusal.Answer))
		s.reply(refusal)
		return
	}
	c.startJob(s, service, tableJob)
}

// joinJob answers a query about a running job, cancels the job, or makes the request wait for its answer.
func (c *control) joinJob(s submission, j *job) {
	switch {
	case j == nil:
		s.reply(unknownReply(wire.ReasonRecovering, "the job is not known here any more"))
	case s.action == wire.ForwardQuery:
		s.reply(&wire.ForwardReply{Status: wire.ForwardPending})
	case s.action == wire.ForwardCancelJob:
		j.replies = append(j.replies, s.reply)
		c.failJob(j, failure{reason: wire.ReasonCancelled, message: "the job was cancelled"})
	default:
		c.metrics.joinedSubmissions.Add(1)
		j.replies = append(j.replies, s.reply)
	}
}

// waitForRecovery holds a request back until the recovery progresses, at most until the given time, and then lets the table
// decide again.
func (c *control) waitForRecovery(s submission, until time.Time) {
	w := &waitingRequest{submission: s}
	w.timer = c.timers.add(until, func(time.Time) { c.retryWaitingRequest(w) })
	c.waitingRequests[w] = struct{}{}
}

// waitingRequest is a request that waits for the recovery of its key.
type waitingRequest struct {
	submission submission
	timer      *pendingTimer
}

// retryWaitingRequest lets the table decide again on a request that waits for a recovery.
func (c *control) retryWaitingRequest(w *waitingRequest) {
	if _, ok := c.waitingRequests[w]; !ok {
		return
	}
	delete(c.waitingRequests, w)
	c.timers.cancel(w.timer)
	c.routeRequest(w.submission)
}

// retryWaitingRequests lets the table decide again on every request that waits for a recovery.
func (c *control) retryWaitingRequests() {
	for w := range c.waitingRequests {
		c.retryWaitingRequest(w)
	}
}
