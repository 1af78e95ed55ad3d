package e2e_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/coltsfootspur/coltsfootspur/internal/api"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// job is a job that callers submit.
type job struct {
	key string // empty for a job without a key
	// service is the service of the job; empty means defaultService.
	service string
	kind    string
	bodies  []json.RawMessage
	// deadline is the time within which the caller wants the answer.
	deadline time.Duration
}

// newJob returns a job with one task per work time, given in milliseconds. Its bodies differ from those of every other job.
func newJob(kind string, deadline time.Duration, workMs ...int) job {
	j := job{key: uuid.Must(uuid.NewV7()).String(), kind: kind, deadline: deadline}
	for i, ms := range workMs {
		j.bodies = append(j.bodies, json.RawMessage(fmt.Sprintf(`{"work_ms":%d,"own":"%s/%d"}`, ms, j.key, i)))
	}
	return j
}

func (j job) serviceName() string {
	if j.service == "" {
		return defaultService
	}
	return j.service
}

// withOpaqueKey replaces the key by one that does not contain its creation time.
func (j job) withOpaqueKey() job {
	j.key = "order-" + j.key[len(j.key)-12:] + j.key[:8]
	return j
}

// reply is the complete response to one submission.
type reply struct {
	status int
	key    string // returned by the entry, for a job without a key
	reason wire.Reason
	*api.Answer
}

// callerClient is the HTTP client of callers. It keeps connections alive, as a load balancer does.
var callerClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: 3 * time.Second}}

// submit sends the job to an entry and reads the whole answer. It returns an error if the connection failed.
func submit(ctx context.Context, e *entry, j job) (reply, error) {
	payload := map[string]any{"kind": j.kind, "deadline_ms": j.deadline.Milliseconds()}
	var tasks []map[string]any
	for _, body := range j.bodies {
		tasks = append(tasks, map[string]any{"body": body})
	}
	payload["tasks"] = tasks
	text, err := json.Marshal(payload)
	if err != nil {
		return reply{}, err
	}
	const grace = 5 * time.Second // for a paused entry; a running one answers soon after the deadline
	ctx, cancel := context.WithTimeout(ctx, j.deadline+grace)
	defer cancel()
	post, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+e.callerAddress+"/v1/services/"+j.serviceName()+"/jobs", bytes.NewReader(text))
	if err != nil {
		return reply{}, err
	}
	post.GetBody = nil // prevents net/http from sending the request again on its own
	if j.key != "" {
		post.Header.Set(api.HeaderKey, j.key)
	}
	return roundTrip(post)
}

func roundTrip(request *http.Request) (reply, error) {
	response, err := callerClient.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := api.DecodeAnswer(response.Body, api.MaxAnswer)
	if err != nil {
		return reply{}, err
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return reply{response.StatusCode, response.Header.Get(api.HeaderKey), answer.Reason, answer}, nil
}

// checkReply returns an error if the answer is inconsistent: a complete answer must contain every task's answer to this very
// job, and any other answer must contain no task's answer.
func (j job) checkReply(r reply) error {
	if r.Outcome != api.OutcomeComplete {
		for _, task := range r.Tasks {
			if task.Status != 0 || len(task.Body) > 0 || len(task.Headers) > 0 {
				return fmt.Errorf("an answer that is not complete contains the answer of a task: %+v", task)
			}
		}
		return nil
	}
	if len(r.Tasks) != len(j.bodies) {
		return fmt.Errorf("complete answer contains %d of %d tasks", len(r.Tasks), len(j.bodies))
	}
	key := j.key
	if key == "" {
		key = r.key
	}
	for i, task := range r.Tasks {
		if task.Status == http.StatusInternalServerError {
			continue // the fault "fail" is active at the upstream
		}
		var echoed struct {
			Task   string `json:"task"`
			SHA256 string `json:"body_sha256"`
		}
		if err := json.Unmarshal(task.Body, &echoed); err != nil {
			return fmt.Errorf("task %d: %w", i, err)
		}
		sum := sha256.Sum256(j.bodies[i])
		if task.Outcome != api.OutcomeComplete || echoed.Task != taskIDIn(j.serviceName(), key, i) ||
			echoed.SHA256 != hex.EncodeToString(sum[:]) {
			return fmt.Errorf("task %d has the answer of another request: %+v", i, echoed)
		}
	}
	return nil
}

// history holds what all callers of one key observed.
type history struct {
	job               job
	replies           []reply
	brokenSubmissions int // submissions whose connection failed before an answer
	connectionErrors  []string
	completeReply     *reply
	// gaveUp is set when a caller reached its resubmit timeout without a final answer.
	gaveUp bool
}

// load sends jobs from several callers and records their replies.
type load struct {
	cluster *cluster
	targets func() []*entry
	nextJob func(r *rand.Rand) job
	// maxPause bounds the random pause of a caller between two jobs.
	maxPause time.Duration
	// resubmitTimeout bounds the time for which a caller resubmits a job that has no final answer.
	resubmitTimeout time.Duration
	// duplicateShare is the share of jobs that two callers submit at the same time.
	duplicateShare float64
	// retriesAllowed is set when the document permits idempotent tasks to be started again.
	retriesAllowed bool

	mu         sync.Mutex
	histories  map[string]*history
	violations []string
	// keylessConnectionErrors counts submissions without a key whose connection failed.
	keylessConnectionErrors int
	stopping                chan struct{}
	callers                 sync.WaitGroup
}

// startLoad starts sending load to the entries that targets returns.
func (c *cluster) startLoad(callerCount int, l *load) *load {
	l.cluster = c
	l.histories = make(map[string]*history)
	l.stopping = make(chan struct{})
	if l.targets == nil {
		l.targets = func() []*entry { return c.entries }
	}
	if l.nextJob == nil {
		l.nextJob = mixedJob
	}
	if l.maxPause == 0 {
		l.maxPause = 100 * time.Millisecond
	}
	if l.resubmitTimeout == 0 {
		l.resubmitTimeout = 20 * time.Second
	}
	for i := range callerCount {
		l.callers.Add(1)
		go func() {
			defer l.callers.Done()
			l.runCaller(rand.New(rand.NewPCG(uint64(i), 7)))
		}()
	}
	c.t.Cleanup(func() { l.stop() })
	return l
}

// mixedJob returns a job of 1 to 4 short tasks, of the kind charge or quote, with a UUIDv7 or an opaque key.
func mixedJob(r *rand.Rand) job {
	kind := "charge"
	if r.IntN(2) == 0 {
		kind = "quote"
	}
	var workMs []int
	for range 1 + r.IntN(4) {
		workMs = append(workMs, 20+r.IntN(150))
	}
	j := newJob(kind, 4*time.Second, workMs...)
	if r.IntN(3) == 0 {
		return j.withOpaqueKey()
	}
	return j
}

// stop ends the load once each caller has a final answer to its job or has given up.
func (l *load) stop() {
	l.mu.Lock()
	select {
	case <-l.stopping:
	default:
		close(l.stopping)
	}
	l.mu.Unlock()
	l.callers.Wait()
}

func (l *load) stopped() bool {
	select {
	case <-l.stopping:
		return true
	default:
		return false
	}
}

func (l *load) runCaller(r *rand.Rand) {
	for !l.stopped() {
		j := l.nextJob(r)
		if r.Float64() < l.duplicateShare {
			l.submitConcurrently(r, j)
		} else {
			l.submitUntilFinal(r, j)
		}
		time.Sleep(time.Duration(r.Int64N(int64(l.maxPause))))
	}
}

// submitConcurrently submits a job from two callers at the same time.
func (l *load) submitConcurrently(r *rand.Rand, j job) {
	secondRand := rand.New(rand.NewPCG(r.Uint64(), 11))
	var secondCaller sync.WaitGroup
	secondCaller.Add(1)
	go func() {
		defer secondCaller.Done()
		l.submitUntilFinal(secondRand, j)
	}()
	l.submitUntilFinal(r, j)
	secondCaller.Wait()
}

// submitUntilFinal submits the job under the same key, each time at a random entry, until there is a final answer.
func (l *load) submitUntilFinal(r *rand.Rand, j job) {
	deadline := time.Now().Add(l.resubmitTimeout)
	for {
		targets := l.targets()
		if len(targets) > 0 {
			answer, err := submit(context.Background(), targets[r.IntN(len(targets))], j)
			if l.record(j, answer, err) {
				l.maybeResubmit(r, j, answer)
				return
			}
		}
		if time.Now().After(deadline) {
			l.markGivenUp(j)
			return
		}
		time.Sleep(time.Duration(20+r.IntN(200)) * time.Millisecond)
	}
}

// maybeResubmit submits a random fifth of the complete jobs once more.
func (l *load) maybeResubmit(r *rand.Rand, j job, first reply) {
	const share = 0.2
	targets := l.targets()
	if j.key == "" || first.Outcome != api.OutcomeComplete || r.Float64() > share || len(targets) == 0 {
		return
	}
	answer, err := submit(context.Background(), targets[r.IntN(len(targets))], j)
	l.record(j, answer, err)
}

// markGivenUp records that a caller reached its resubmit timeout without a final answer.
func (l *load) markGivenUp(j job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h := l.histories[j.key]; h != nil {
		h.gaveUp = true
	}
}

// record stores a reply or connection error and reports whether the caller is done with the job.
func (l *load) record(j job, r reply, err error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := j.key
	if key == "" {
		key = r.key
	}
	if key == "" {
		if err != nil {
			l.keylessConnectionErrors++
		}
		return true // a job without a key cannot be submitted again as the same job
	}
	h := l.histories[key]
	if h == nil {
		h = &history{job: j}
		h.job.key = key
		l.histories[key] = h
	}
	if err != nil {
		h.brokenSubmissions++
		h.connectionErrors = append(h.connectionErrors, err.Error())
		return false
	}
	h.replies = append(h.replies, r)
	if violation := j.checkReply(r); violation != nil {
		l.addViolation("key %s: %v", key, violation)
	}
	if r.Outcome == api.OutcomeComplete {
		if h.completeReply != nil && !sameAnswer(*h.completeReply, r) {
			l.addViolation("key %s has two different complete answers", key)
		}
		h.completeReply = &r
	}
	return isFinal(r)
}

// isFinal reports whether the caller has no reason to submit the job again under the same key.
func isFinal(r reply) bool {
	if r.Outcome != api.OutcomeUnknown {
		return true
	}
	switch r.reason {
	case wire.ReasonRecovering, wire.ReasonHomeUnreachable, wire.ReasonExpelled, wire.ReasonStopping:
		return false
	}
	return true
}

func sameAnswer(a, b reply) bool {
	x, _ := json.Marshal(a.Answer)
	y, _ := json.Marshal(b.Answer)
	return bytes.Equal(x, y)
}

func (l *load) addViolation(format string, arguments ...any) {
	l.violations = append(l.violations, fmt.Sprintf(format, arguments...))
}
