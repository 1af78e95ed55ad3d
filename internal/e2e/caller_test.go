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

// job is a submission of a caller.
type job struct {
	key string // empty for a job without one
	// service is that of the job; empty for the constant service.
	service string
	kind    string
	bodies  []json.RawMessage
	// deadline is the time in which the caller wants the answer.
	deadline time.Duration
}

// newJob returns a job with one task for each work time in milliseconds. Its bodies differ from those of any other job.
func newJob(kind string, deadline time.Duration, works ...int) job {
	j := job{key: uuid.Must(uuid.NewV7()).String(), kind: kind, deadline: deadline}
	for i, work := range works {
		j.bodies = append(j.bodies, json.RawMessage(fmt.Sprintf(`{"work_ms":%d,"own":"%s/%d"}`, work, j.key, i)))
	}
	return j
}

func (j job) serviceName() string {
	if j.service == "" {
		return service
	}
	return j.service
}

// opaque replaces the key by one that does not tell its age.
func (j job) opaque() job {
	j.key = "order-" + j.key[len(j.key)-12:] + j.key[:8]
	return j
}

// reply is the whole answer to one submission.
type reply struct {
	status int
	key    string // that the entry returned, for a job without a key
	reason wire.Reason
	*api.Answer
}

// callers is the HTTP client of callers. It keeps connections alive, as a balancer does.
var callers = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: 3 * time.Second}}

// submit sends the job to an entry and reads the whole answer. An error means that the connection broke.
func submit(ctx context.Context, e *entry, j job) (reply, error) {
	request := map[string]any{"kind": j.kind, "deadline_ms": j.deadline.Milliseconds()}
	var tasks []map[string]any
	for _, body := range j.bodies {
		tasks = append(tasks, map[string]any{"body": body})
	}
	request["tasks"] = tasks
	text, err := json.Marshal(request)
	if err != nil {
		return reply{}, err
	}
	const grace = 5 * time.Second // for a frozen entry; a live one answers soon after the deadline
	ctx, cancel := context.WithTimeout(ctx, j.deadline+grace)
	defer cancel()
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callers+"/v1/services/"+j.serviceName()+"/jobs",
		bytes.NewReader(text))
	if err != nil {
		return reply{}, err
	}
	post.GetBody = nil // net/http must not send the request again by itself
	if j.key != "" {
		post.Header.Set(api.HeaderKey, j.key)
	}
	return exchange(post)
}

func exchange(request *http.Request) (reply, error) {
	response, err := callers.Do(request)
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

// check returns what is wrong with an answer by itself: it must be whole and the caller's own, or hold no answer at all.
func (j job) check(r reply) error {
	if r.Outcome != api.OutcomeComplete {
		for _, task := range r.Tasks {
			if task.Status != 0 || len(task.Body) > 0 || len(task.Headers) > 0 {
				return fmt.Errorf("a failed answer holds the answer of a task: %+v", task)
			}
		}
		return nil
	}
	if len(r.Tasks) != len(j.bodies) {
		return fmt.Errorf("complete with %d of %d tasks", len(r.Tasks), len(j.bodies))
	}
	key := j.key
	if key == "" {
		key = r.key
	}
	for i, task := range r.Tasks {
		if task.Status == http.StatusInternalServerError {
			continue // failure on demand
		}
		var own struct {
			Task   string `json:"task"`
			SHA256 string `json:"body_sha256"`
		}
		if err := json.Unmarshal(task.Body, &own); err != nil {
			return fmt.Errorf("task %d: %w", i, err)
		}
		sum := sha256.Sum256(j.bodies[i])
		if task.Outcome != api.OutcomeComplete || own.Task != taskOf(j.serviceName(), key, i) || own.SHA256 != hex.EncodeToString(sum[:]) {
			return fmt.Errorf("task %d has the answer %+v of another request", i, own)
		}
	}
	return nil
}

// history is what the callers of one key saw.
type history struct {
	job      job
	answers  []reply
	broken   int // submissions without an answer
	causes   []string
	complete *reply
	// insisted is set when a caller gave up without a final answer.
	insisted bool
}

// load sends jobs from several callers and keeps what they saw.
type load struct {
	cluster *cluster
	targets func() []*entry
	jobs    func(r *rand.Rand) job
	// pause bounds the random pause of a caller between two jobs.
	pause time.Duration
	// patience bounds the time for which a caller resubmits a job that has no final answer.
	patience time.Duration
	// doubled is the share of jobs that are submitted at two entries at once.
	doubled float64
	// repeats is set when the document allows further starts of idempotent tasks.
	repeats bool

	mu        sync.Mutex
	histories map[string]*history
	faults    []string
	// keylessBroken counts jobs without a key whose connection broke.
	keylessBroken int
	stopping      chan struct{}
	running       sync.WaitGroup
}

// startLoad begins to send load to the entries that targets returns.
func (c *cluster) startLoad(callers int, l *load) *load {
	l.cluster = c
	l.histories = make(map[string]*history)
	l.stopping = make(chan struct{})
	if l.targets == nil {
		l.targets = func() []*entry { return c.entries }
	}
	if l.jobs == nil {
		l.jobs = mixedJob
	}
	if l.pause == 0 {
		l.pause = 100 * time.Millisecond
	}
	if l.patience == 0 {
		l.patience = 20 * time.Second
	}
	for i := range callers {
		l.running.Add(1)
		go func() {
			defer l.running.Done()
			l.call(rand.New(rand.NewPCG(uint64(i), 7)))
		}()
	}
	c.t.Cleanup(func() { l.stop() })
	return l
}

// mixedJob is a job of 1 to 4 short tasks, of either kind, with either form of key.
func mixedJob(r *rand.Rand) job {
	kind := "charge"
	if r.IntN(2) == 0 {
		kind = "quote"
	}
	var works []int
	for range 1 + r.IntN(4) {
		works = append(works, 20+r.IntN(150))
	}
	j := newJob(kind, 4*time.Second, works...)
	if r.IntN(3) == 0 {
		return j.opaque()
	}
	return j
}

// stop ends the load after each caller has the final answer of its job.
func (l *load) stop() {
	l.mu.Lock()
	select {
	case <-l.stopping:
	default:
		close(l.stopping)
	}
	l.mu.Unlock()
	l.running.Wait()
}

func (l *load) stopped() bool {
	select {
	case <-l.stopping:
		return true
	default:
		return false
	}
}

func (l *load) call(r *rand.Rand) {
	for !l.stopped() {
		j := l.jobs(r)
		if r.Float64() < l.doubled {
			l.both(r, j)
		} else {
			l.untilFinal(r, j)
		}
		time.Sleep(time.Duration(r.Int64N(int64(l.pause))))
	}
}

// both submits a job from two callers at once.
func (l *load) both(r *rand.Rand, j job) {
	second := rand.New(rand.NewPCG(r.Uint64(), 11))
	var other sync.WaitGroup
	other.Add(1)
	go func() {
		defer other.Done()
		l.untilFinal(second, j)
	}()
	l.untilFinal(r, j)
	other.Wait()
}

// untilFinal submits the job, and again under the same key at any entry, until there is a final answer.
func (l *load) untilFinal(r *rand.Rand, j job) {
	deadline := time.Now().Add(l.patience)
	for {
		targets := l.targets()
		if len(targets) > 0 {
			answer, err := submit(context.Background(), targets[r.IntN(len(targets))], j)
			if l.note(j, answer, err) {
				l.askAgain(r, j, answer)
				return
			}
		}
		if time.Now().After(deadline) {
			l.insisted(j)
			return
		}
		time.Sleep(time.Duration(20+r.IntN(200)) * time.Millisecond)
	}
}

// askAgain submits a job that is complete once more, now and then.
func (l *load) askAgain(r *rand.Rand, j job, former reply) {
	const share = 0.2
	targets := l.targets()
	if j.key == "" || former.Outcome != api.OutcomeComplete || r.Float64() > share || len(targets) == 0 {
		return
	}
	answer, err := submit(context.Background(), targets[r.IntN(len(targets))], j)
	l.note(j, answer, err)
}

// insisted notes that a caller asked for the whole of its patience.
func (l *load) insisted(j job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h := l.histories[j.key]; h != nil {
		h.insisted = true
	}
}

// note keeps an answer and reports whether it is final.
func (l *load) note(j job, r reply, err error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	name := j.key
	if name == "" {
		name = r.key
	}
	if name == "" {
		if err != nil {
			l.keylessBroken++
		}
		return true // nobody can ask for a job without a key again
	}
	h := l.histories[name]
	if h == nil {
		h = &history{job: j}
		h.job.key = name
		l.histories[name] = h
	}
	if err != nil {
		h.broken++
		h.causes = append(h.causes, err.Error())
		return false
	}
	h.answers = append(h.answers, r)
	if fault := j.check(r); fault != nil {
		l.fault("key %s: %v", name, fault)
	}
	if r.Outcome == api.OutcomeComplete {
		if h.complete != nil && !sameAnswer(*h.complete, r) {
			l.fault("key %s has two answers", name)
		}
		h.complete = &r
	}
	return final(r)
}

// final tells whether the caller has no reason to ask again under the same key.
func final(r reply) bool {
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

func (l *load) fault(format string, arguments ...any) {
	l.faults = append(l.faults, fmt.Sprintf(format, arguments...))
}
