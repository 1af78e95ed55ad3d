package loadgen

import (
	"bytes"
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/api"
	"github.com/coltsfootspur/coltsfootspur/internal/clock"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Limits of the exponential backoff between two attempts after a failed connection.
const (
	initialRetryDelay = 20 * time.Millisecond
	maxRetryDelay     = time.Second
)

// jobRun is one job in flight.
type jobRun struct {
	config *Config
	client *client
	plan   *plannedJob
	key    string
	body   []byte
	// arrival is the planned arrival; giveUpAt is when the caller stops waiting for an answer.
	arrival, giveUpAt time.Time
}

// submissionResult is the result of one submission of a job's key, including its retries.
type submissionResult struct {
	// answered is true when at least one attempt got an answer.
	answered bool
	outcome  api.Outcome
	reason   wire.Reason
	// sent and received are the times of the last attempt that got an answer.
	sent, received time.Time
	fault          fault
	upstreamErrors int
	retries        int
}

// jobResult is the result of a finished job with all of its submissions, from which the recorder computes the measures.
type jobResult struct {
	plan *plannedJob
	// lag is the time between the planned arrival and the moment the generator sent the job.
	lag         time.Duration
	submissions []submissionResult
	cancelled   bool
	arrival     time.Time
}

func newJobRun(config *Config, client *client, plan *plannedJob, key string, loadStart time.Time) (*jobRun, error) {
	var body bytes.Buffer
	if err := api.Encode(&body, plan.jobRequest(key)); err != nil {
		return nil, eris.Wrap(ErrConfig, err.Error())
	}
	arrival := loadStart.Add(plan.arrivalOffset)
	run := &jobRun{config: config, client: client, plan: plan, key: key, body: body.Bytes(), arrival: arrival}
	run.giveUpAt = arrival.Add(plan.kind.Deadline + config.Grace)
	return run, nil
}

// run submits the job, resubmits and cancels it as planned, and returns when all of these requests have ended.
func (r *jobRun) run(ctx context.Context, loadStart time.Time) jobResult {
	submitCtx, cancel := context.WithDeadline(ctx, r.giveUpAt)
	defer cancel()
	result := jobResult{plan: r.plan, arrival: r.arrival, lag: r.config.Clock.Now().Sub(r.arrival)}

	done := make(chan struct{})
	cancelled := r.scheduleCancel(submitCtx, loadStart, done)
	resubmitted := r.startResubmission(submitCtx)
	result.submissions = append(result.submissions, r.submit(submitCtx, r.plan.submitEntry))
	if resubmitted != nil {
		result.submissions = append(result.submissions, <-resubmitted)
	}
	close(done)
	result.cancelled = <-cancelled

	if r.plan.resubmit == resubmitAfterAnswer && result.submissions[0].answered {
		result.submissions = append(result.submissions, r.resubmitAfterAnswer(ctx))
	}
	return result
}

// scheduleCancel cancels the job at the planned time unless done is closed first. The returned channel receives whether
// the cancellation was sent.
func (r *jobRun) scheduleCancel(ctx context.Context, loadStart time.Time, done <-chan struct{}) <-chan bool {
	cancelled := make(chan bool, 1)
	if r.plan.cancelOffset == 0 {
		cancelled <- false
		return cancelled
	}
	go func() {
		wait := loadStart.Add(r.plan.cancelOffset).Sub(r.config.Clock.Now())
		if !sleep(ctx, r.config.Clock, wait, done) {
			cancelled <- false
			return
		}
		// The error is ignored: the answer to the submission shows whether the cancellation took effect.
		_ = r.client.cancel(ctx, r.config.Entries[r.plan.resubmitEntry], r.key)
		cancelled <- true
	}()
	return cancelled
}

func (r *jobRun) startResubmission(ctx context.Context) <-chan submissionResult {
	if r.plan.resubmit != resubmitWhileRunning {
		return nil
	}
	result := make(chan submissionResult, 1)
	go func() {
		sleep(ctx, r.config.Clock, r.plan.resubmitDelay, nil)
		result <- r.submit(ctx, r.plan.resubmitEntry)
	}()
	return result
}

func (r *jobRun) resubmitAfterAnswer(ctx context.Context) submissionResult {
	sleep(ctx, r.config.Clock, r.plan.resubmitDelay, nil)
	submitCtx, cancel := context.WithTimeout(ctx, r.plan.kind.Deadline+r.config.Grace)
	defer cancel()
	return r.submit(submitCtx, r.plan.resubmitEntry)
}

// submit sends the job until it gets a final answer or ctx ends. After a failed connection it sends the same key to the
// next entry; after an unknown outcome with Retry-After it waits for that time first and stops if the deadline would pass.
func (r *jobRun) submit(ctx context.Context, entry int) submissionResult {
	result := submissionResult{}
	delay := initialRetryDelay
	for {
		sent := r.config.Clock.Now()
		got, err := r.client.submit(ctx, r.config.Entries[entry%len(r.config.Entries)], r.key, r.body)
		wait := delay
		if err == nil {
			r.recordReply(&result, sent, got)
			if wait = r.retryWait(&result, got); wait == 0 {
				return result
			}
		}
		if !sleep(ctx, r.config.Clock, wait, nil) {
			return result
		}
		result.retries++
		delay = min(2*delay, maxRetryDelay)
		entry++
	}
}

// recordReply stores the latest answer and the first fault of a submission.
func (r *jobRun) recordReply(result *submissionResult, sent time.Time, got reply) {
	result.answered, result.sent, result.received = true, sent, r.config.Clock.Now()
	found := faultMalformed
	if got.answer != nil {
		result.outcome, result.reason = got.answer.Outcome, got.answer.Reason
		found, result.upstreamErrors = checkAnswer(r.plan, r.key, got.status, got.answer)
	}
	if result.fault == faultNone {
		result.fault = found
	}
}

// retryWait returns how long the caller waits before it retries a submission with an unknown outcome, or 0 if it does not
// retry.
func (r *jobRun) retryWait(result *submissionResult, got reply) time.Duration {
	if result.fault != faultNone || result.outcome != api.OutcomeUnknown || got.retryAfter == 0 {
		return 0
	}
	if result.received.Add(got.retryAfter).After(r.arrival.Add(r.plan.kind.Deadline)) {
		return 0
	}
	return got.retryAfter
}

// sleep waits for d. It returns false if ctx ends or stop is closed first.
func sleep(ctx context.Context, c clock.Clock, d time.Duration, stop <-chan struct{}) bool {
	timer := c.NewTimer(max(0, d))
	defer timer.Stop()
	select {
	case <-timer.C():
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	case <-stop:
		return false
	}
}
