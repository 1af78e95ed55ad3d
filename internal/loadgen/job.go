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

// Delays between two attempts of a caller whose connection failed.
const (
	firstRetryDelay   = 20 * time.Millisecond
	longestRetryDelay = time.Second
)

// jobRun is one job in flight.
type jobRun struct {
	config *Config
	client *client
	plan   *plannedJob
	key    string
	body   []byte
	// arrival is the planned arrival; limit is when the caller stops waiting.
	arrival, limit time.Time
}

// copyResult is what one submission of the key led to.
type copyResult struct {
	// answered is false when no attempt got an answer.
	answered bool
	outcome  api.Outcome
	reason   wire.Reason
	// sent and received belong to the last attempt.
	sent, received time.Time
	found          fault
	upstreamErrors int
	retries        int
}

// jobResult is what the recorder learns about a job.
type jobResult struct {
	plan *plannedJob
	// lag is how late the generator sent the job.
	lag       time.Duration
	copies    []copyResult
	cancelled bool
	arrival   time.Time
}

func newJobRun(config *Config, client *client, plan *plannedJob, key string, begin time.Time) (*jobRun, error) {
	var body bytes.Buffer
	if err := api.Encode(&body, plan.request(key)); err != nil {
		return nil, eris.Wrap(ErrConfig, err.Error())
	}
	arrival := begin.Add(plan.at)
	run := &jobRun{config: config, client: client, plan: plan, key: key, body: body.Bytes(), arrival: arrival}
	run.limit = arrival.Add(plan.kind.Deadline + config.Grace)
	return run, nil
}

// run submits the job, submits it again and cancels it as planned, and returns when all of that has ended.
func (r *jobRun) run(ctx context.Context, begin time.Time) jobResult {
	bounded, release := context.WithDeadline(ctx, r.limit)
	defer release()
	result := jobResult{plan: r.plan, arrival: r.arrival, lag: r.config.Clock.Now().Sub(r.arrival)}

	done := make(chan struct{})
	cancelled := r.cancelLater(bounded, begin, done)
	second := r.resubmitWhileRunning(bounded)
	result.copies = append(result.copies, r.submit(bounded, r.plan.entry))
	if second != nil {
		result.copies = append(result.copies, <-second)
	}
	close(done)
	result.cancelled = <-cancelled

	if r.plan.resubmit == resubmitAfterAnswer && result.copies[0].answered {
		result.copies = append(result.copies, r.resubmitAfterAnswer(ctx))
	}
	return result
}

// cancelLater cancels the job at the planned time unless done is closed before. It sends whether it cancelled.
func (r *jobRun) cancelLater(ctx context.Context, begin time.Time, done <-chan struct{}) <-chan bool {
	cancelled := make(chan bool, 1)
	if r.plan.cancelAt == 0 {
		cancelled <- false
		return cancelled
	}
	go func() {
		wait := begin.Add(r.plan.cancelAt).Sub(r.config.Clock.Now())
		if !sleep(ctx, r.config.Clock, wait, done) {
			cancelled <- false
			return
		}
		// An error needs no handling: the answer to the submission tells whether the cancellation had an effect.
		_ = r.client.cancel(ctx, r.config.Entries[r.plan.second], r.key)
		cancelled <- true
	}()
	return cancelled
}

func (r *jobRun) resubmitWhileRunning(ctx context.Context) <-chan copyResult {
	if r.plan.resubmit != resubmitWhileRunning {
		return nil
	}
	result := make(chan copyResult, 1)
	go func() {
		sleep(ctx, r.config.Clock, r.plan.resubmitDelay, nil)
		result <- r.submit(ctx, r.plan.second)
	}()
	return result
}

func (r *jobRun) resubmitAfterAnswer(ctx context.Context) copyResult {
	sleep(ctx, r.config.Clock, r.plan.resubmitDelay, nil)
	bounded, release := context.WithTimeout(ctx, r.plan.kind.Deadline+r.config.Grace)
	defer release()
	return r.submit(bounded, r.plan.second)
}

// submit sends the job until it has a final answer or ctx ends. A connection that fails is followed by the same key at
// the next entry; an unknown outcome with Retry-After by the same key after that time, if the deadline allows it.
func (r *jobRun) submit(ctx context.Context, entry int) copyResult {
	result := copyResult{}
	delay := firstRetryDelay
	for {
		sent := r.config.Clock.Now()
		got, err := r.client.submit(ctx, r.config.Entries[entry%len(r.config.Entries)], r.key, r.body)
		wait := delay
		if err == nil {
			r.record(&result, sent, got)
			if wait = r.repetition(&result, got); wait == 0 {
				return result
			}
		}
		if !sleep(ctx, r.config.Clock, wait, nil) {
			return result
		}
		result.retries++
		delay = min(2*delay, longestRetryDelay)
		entry++
	}
}

// record keeps the latest answer and the first fault of a copy.
func (r *jobRun) record(result *copyResult, sent time.Time, got reply) {
	result.answered, result.sent, result.received = true, sent, r.config.Clock.Now()
	found := faultMalformed
	if got.answer != nil {
		result.outcome, result.reason = got.answer.Outcome, got.answer.Reason
		found, result.upstreamErrors = checkAnswer(r.plan, r.key, got.status, got.answer)
	}
	if result.found == faultNone {
		result.found = found
	}
}

// repetition returns the time after which the caller repeats a submission with an unknown outcome; 0 for never.
func (r *jobRun) repetition(result *copyResult, got reply) time.Duration {
	if result.found != faultNone || result.outcome != api.OutcomeUnknown || got.retryAfter == 0 {
		return 0
	}
	if result.received.Add(got.retryAfter).After(r.arrival.Add(r.plan.kind.Deadline)) {
		return 0
	}
	return got.retryAfter
}

// sleep waits for d. It reports false when ctx or stop ended first.
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
