package entry

import (
	"fmt"
	"strings"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	table "github.com/coltsfootspur/coltsfootspur/internal/submission"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// submission is a request of a caller or of another entry on its way to a decision.
type submission struct {
	action   wire.ForwardAction
	job      wire.Job
	key      wire.KeyHash
	deadline time.Time
	// forwarded is set for a request of another entry, with the sender's list version and whether this entry holds the
	// key for the sender.
	forwarded   bool
	listVersion uint64
	held        bool
	reply       func(*wire.ForwardReply)
	// issued is told the key of a job that came without one.
	issued func(key string)
}

// issuedPrefix begins the keys that an entry issues for jobs without one. Only the issuing run can start such a job.
const issuedPrefix = "issued."

// lookupBudget is the time in which a question about a key is answered.
const lookupBudget = 5 * time.Second

// submitted handles a request of a caller of this entry.
func (c *control) submitted(s submission) {
	if s.action == wire.ForwardSubmit {
		service := c.services[s.job.Service]
		if service == nil && c.isCold() {
			c.timers.add(c.now.Add(coldRetryDelay), func(time.Time) { c.submitted(s) })
			return
		}
		refusal := c.checkJob(service, &s.job)
		if refusal != nil {
			if s.job.Key != "" {
				// An entry that was cut off may lack a document under which another one has run the key.
				refusal.Answer = c.vouch(refusal.Answer)
			}
			s.reply(refusal)
			return
		}
		s.deadline = c.now.Add(time.Duration(s.job.BudgetMillis) * time.Millisecond)
		if s.job.Key == "" {
			c.submitIssued(s, service)
			return
		}
	} else {
		s.deadline = c.now.Add(lookupBudget)
	}
	if strings.HasPrefix(s.job.Key, issuedPrefix) {
		c.aboutIssued(s)
		return
	}
	s.key = placement.HashKey(s.job.Service, s.job.Key)
	c.route(s)
}

// An entry that has just started knows no documents yet. Requests wait for them instead of being refused.
const (
	coldTime       = 2 * time.Second
	coldRetryDelay = 20 * time.Millisecond
)

func (c *control) isCold() bool { return len(c.services) == 0 && c.now.Sub(c.startedAt) < coldTime }

// checkJob completes a job from the document of its service and refuses what the document or the quota does not allow.
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
	job.BudgetMillis = uint32(deadlineOf(kind, job.BudgetMillis).Milliseconds())
	return nil
}

func largestBody(job *wire.Job) int {
	largest := 0
	for i := range job.Tasks {
		largest = max(largest, len(job.Tasks[i].Body))
	}
	return largest
}

// submitIssued runs a job without a caller's key at this entry.
func (c *control) submitIssued(s submission, service *service) {
	key := fmt.Sprintf("%s%s.%x.%x", issuedPrefix, c.options.ID, c.incarnation, c.lastJob+1)
	s.issued(key)
	s.key = placement.HashKey(s.job.Service, key)
	if refusal := c.admit(&s.job); refusal != nil {
		s.reply(refusal)
		return
	}
	c.startJob(s, service, 0)
}

// aboutIssued answers a request that names an issued key. Such a job is known while it runs, and only here.
func (c *control) aboutIssued(s submission) {
	j := c.running[placement.HashKey(s.job.Service, s.job.Key)]
	switch {
	case j == nil && s.action == wire.ForwardSubmit:
		s.reply(unknownReply(wire.ReasonKeyExpired, "an issued key cannot be submitted again"))
	case j == nil:
		s.reply(&wire.ForwardReply{Status: wire.ForwardNotFound})
	default:
		c.joinJob(s, j)
	}
}

// admit takes the tasks of a new job from the quota of its team.
func (c *control) admit(job *wire.Job) *wire.ForwardReply {
	ok, retryAfter := c.quotas.Admit(c.now, job.Team, len(job.Tasks))
	c.metrics.countQuota(job, ok)
	if ok {
		return nil
	}
	reply := notRunReply(wire.ReasonQuota, "the quota of the team is used up")
	reply.Answer.RetryAfterMillis = uint32(retryAfter.Milliseconds())
	return reply
}

// route lets the table decide on a request with a caller's key.
func (c *control) route(s submission) {
	request := table.Submission{
		Key: s.key, Digest: s.job.Digest, Region: c.homeRegion(s.job.Service),
		Deadline: s.deadline, ListVersion: s.listVersion, Held: s.held,
	}
	if created, ok := placement.KeyTime(s.job.Key); ok {
		request.CreatedAt = created
	}
	if s.action == wire.ForwardSubmit {
		c.decided(s, request, c.table.Submit(c.now, request))
		return
	}
	c.decided(s, request, c.table.Lookup(c.now, request))
}

func (c *control) homeRegion(name string) string {
	if service := c.services[name]; service != nil {
		return service.document.HomeRegion
	}
	return ""
}

// decided carries out a decision of the table.
func (c *control) decided(s submission, request table.Submission, d table.Decision) {
	switch d.Kind {
	case table.Run:
		c.runJob(s, d.Job)
	case table.Join:
		c.joinJob(s, c.tableJobs[d.Job])
	case table.Stored:
		c.metrics.stored.Add(1)
		s.reply(&wire.ForwardReply{Status: wire.ForwardAnswered, Answer: d.Answer})
	case table.Conflict:
		s.reply(&wire.ForwardReply{Status: wire.ForwardConflict})
	case table.Wait:
		c.waitForRecovery(s, d.Until)
	case table.PassOn:
		c.forwardTo(d.Holder, true, s)
	case table.NotHome:
		c.passToHome(s, request)
	case table.Missing:
		s.reply(&wire.ForwardReply{Status: wire.ForwardNotFound})
	default:
		s.reply(&wire.ForwardReply{Status: wire.ForwardAnswered, Answer: c.vouch(d.Answer)})
	}
}

// passToHome forwards a caller's request, and sends one of another entry back with the list of this one.
func (c *control) passToHome(s submission, request table.Submission) {
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

// runJob starts a job whose key is new. The table has recorded the key as running.
func (c *control) runJob(s submission, tableJob table.Job) {
	service := c.services[s.job.Service]
	refusal := c.checkJob(service, &s.job)
	if refusal == nil {
		refusal = c.admit(&s.job)
	}
	if refusal != nil {
		refusal.Answer = c.vouch(c.table.Complete(c.now, tableJob, refusal.Answer))
		s.reply(refusal)
		return
	}
	c.startJob(s, service, tableJob)
}

// joinJob makes a request wait for the answer of a running job.
func (c *control) joinJob(s submission, j *job) {
	switch {
	case j == nil:
		s.reply(unknownReply(wire.ReasonRecovering, "the job is not known here any more"))
	case s.action == wire.ForwardState:
		s.reply(&wire.ForwardReply{Status: wire.ForwardPending})
	case s.action == wire.ForwardCancelJob:
		j.replies = append(j.replies, s.reply)
		c.failJob(j, failure{reason: wire.ReasonCancelled, message: "the job was cancelled"})
	default:
		c.metrics.joins.Add(1)
		j.replies = append(j.replies, s.reply)
	}
}

// waitForRecovery keeps a request until the table can decide on it.
func (c *control) waitForRecovery(s submission, until time.Time) {
	w := &waiting{submission: s}
	w.timer = c.timers.add(until, func(time.Time) { c.decideAgain(w) })
	c.waiting[w] = struct{}{}
}

// waiting is a request that waits for the recovery of its key.
type waiting struct {
	submission submission
	timer      *timerEntry
}

func (c *control) decideAgain(w *waiting) {
	if _, ok := c.waiting[w]; !ok {
		return
	}
	delete(c.waiting, w)
	c.timers.cancel(w.timer)
	c.route(w.submission)
}

// recheck decides again on every request that waits for a recovery.
func (c *control) recheck() {
	for w := range c.waiting {
		c.decideAgain(w)
	}
}
