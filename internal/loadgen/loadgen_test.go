package loadgen_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"path"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/coltsfootspur/coltsfootspur/internal/api"
	"github.com/coltsfootspur/coltsfootspur/internal/deployment"
	"github.com/coltsfootspur/coltsfootspur/internal/loadgen"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// fakeEntry answers jobs as answer tells and counts what it is asked.
type fakeEntry struct {
	mu      sync.Mutex
	seen    map[string]int
	cancels int
	// open is the number of jobs without an answer, most the largest number so far.
	open, most int
	answer     func(job *api.JobRequest, copyOf int) (*api.Answer, int)
	delay      time.Duration
	// cancelled is called with the key of each cancellation, and await before each answer; nil means no call.
	cancelled, await func(key string)
}

func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		f.mu.Lock()
		f.cancels++
		f.mu.Unlock()
		if f.cancelled != nil {
			f.cancelled(path.Base(r.URL.Path))
		}
		w.WriteHeader(http.StatusAccepted)
		return
	}
	job, err := api.DecodeJob(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusTeapot)
		return
	}
	f.mu.Lock()
	copyOf := f.seen[r.Header.Get(api.HeaderKey)]
	f.seen[r.Header.Get(api.HeaderKey)]++
	f.open++
	f.most = max(f.most, f.open)
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.open--
	}()
	time.Sleep(f.delay)
	if f.await != nil {
		f.await(r.Header.Get(api.HeaderKey))
	}
	answer, status := f.answer(job, copyOf)
	if answer == nil {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
	_ = api.Encode(w, answer)
}

func right(job *api.JobRequest) *api.Answer {
	answer := &api.Answer{Outcome: api.OutcomeComplete}
	for _, task := range job.Tasks {
		var body map[string]any
		if err := json.Unmarshal(task.Body, &body); err != nil {
			panic(err)
		}
		text, err := json.Marshal(map[string]any{"echo": body["echo"]})
		if err != nil {
			panic(err)
		}
		answer.Tasks = append(answer.Tasks, api.TaskAnswer{Outcome: api.OutcomeComplete, Status: 200, Body: text})
	}
	return answer
}

func refused(outcome api.Outcome, reason wire.Reason) (*api.Answer, int) {
	return &api.Answer{Outcome: outcome, Reason: reason}, api.Status(outcome, reason)
}

func service() *deployment.Service {
	return &deployment.Service{
		Name:  "bench",
		Kinds: []deployment.Kind{{Name: "hot-wax", Urgent: true, Deadline: 10 * time.Second}},
		Load: deployment.LoadProfile{
			Demand:         deployment.Demand{Trough: 1, Crest: 1, Period: time.Second, CrestTime: time.Second},
			CancelInterval: time.Minute,
			Kinds: []deployment.KindLoad{{
				Kind: "hot-wax", Weight: 1, DeclaredFactor: 2, Tasks: []deployment.SizeClass{{From: 2, To: 4, Weight: 1}},
				Work: []deployment.WorkClass{{From: 10 * time.Millisecond, To: 10 * time.Millisecond, Weight: 1}},
			}},
		},
	}
}

// impatient makes the callers give up half a second after the arrival.
func impatient(c *loadgen.Config) {
	c.Service.Kinds[0].Deadline = 300 * time.Millisecond
	c.Grace = 200 * time.Millisecond
}

// run puts about 100 jobs on two addresses of a fake entry.
func run(t *testing.T, entry *fakeEntry, change func(*loadgen.Config)) *loadgen.Result {
	t.Helper()
	g := gomega.NewWithT(t)
	entry.seen = make(map[string]int)
	servers := []*httptest.Server{httptest.NewServer(entry), httptest.NewServer(entry)}
	config := loadgen.Config{
		Service: service(), Capacity: 12, FastestFactor: 1, Duration: 250 * time.Millisecond, Grace: 10 * time.Second,
		Seed: 7, Entries: []string{servers[0].URL, servers[1].URL + "/"},
	}
	if change != nil {
		change(&config)
	}
	result, err := loadgen.Run(context.Background(), config)
	for _, s := range servers {
		s.CloseClientConnections()
		s.Close()
	}
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(result.Jobs).To(gomega.BeNumerically(">", 50))
	sum := result.Complete + result.FailedNotRun + result.FailedUnknown + result.Partial + result.MixedUp + result.Malformed + result.Lost
	g.Expect(sum).To(gomega.Equal(result.Jobs), "every job belongs to one class: %+v", result)
	return result
}

// Guards against a generator that finds faults in a system that answers everything right.
func TestRightAnswersAreComplete(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	entry := &fakeEntry{answer: func(job *api.JobRequest, _ int) (*api.Answer, int) { return right(job), 200 }}
	result := run(t, entry, func(c *loadgen.Config) { c.Service.Load.ResubmitShare = 0.5 })
	g.Expect(result.Complete).To(gomega.Equal(result.Jobs))
	g.Expect(result.Violations()).To(gomega.BeEmpty())
	g.Expect(result.Resubmitted).To(gomega.BeNumerically(">", 10))
	g.Expect(len(entry.seen)).To(gomega.BeEquivalentTo(result.Jobs), "each job has a key of its own")
	g.Expect(float64(result.InTimeShare)).To(gomega.BeNumerically(">", 0.9))
	g.Expect(result.CrestInTimeShare.Known()).To(gomega.BeTrue())
	g.Expect(result.MessagesWastedPerTask.Known()).To(gomega.BeFalse(), "no counter was read")
	g.Expect(float64(result.SlowdownP50)).To(gomega.BeNumerically(">", 0))
}

// Guards against wrong answers that are counted as complete or in another class.
func TestFaultsAreCounted(t *testing.T) {
	t.Parallel()
	count := func(r *loadgen.Result) map[string]uint64 {
		return map[string]uint64{
			"complete": r.Complete, "not_run": r.FailedNotRun, "unknown": r.FailedUnknown, "partial": r.Partial,
			"mixed_up": r.MixedUp, "malformed": r.Malformed, "lost": r.Lost,
		}
	}
	cases := map[string]struct {
		class  string
		answer func(job *api.JobRequest, copyOf int) (*api.Answer, int)
	}{
		"a task is missing": {"partial", func(job *api.JobRequest, _ int) (*api.Answer, int) {
			a := right(job)
			a.Tasks = a.Tasks[1:]
			return a, 200
		}},
		"a task failed": {"partial", func(job *api.JobRequest, _ int) (*api.Answer, int) {
			a := right(job)
			a.Tasks[1] = api.TaskAnswer{Outcome: api.OutcomeUnknown}
			return a, 200
		}},
		"a body is empty": {"partial", func(job *api.JobRequest, _ int) (*api.Answer, int) {
			a := right(job)
			a.Tasks[1].Body = nil
			return a, 200
		}},
		"a body is cut off": {"partial", func(job *api.JobRequest, _ int) (*api.Answer, int) {
			a := right(job)
			a.Tasks[1].Body = a.Tasks[1].Body[:20]
			return a, 200
		}},
		"an echo is cut off": {"partial", func(job *api.JobRequest, _ int) (*api.Answer, int) {
			a := right(job)
			a.Tasks[1].Body = append(a.Tasks[1].Body[:20:20], `"}`...)
			return a, 200
		}},
		"a failed job shows answers": {"partial", func(job *api.JobRequest, _ int) (*api.Answer, int) {
			a := right(job)
			a.Outcome, a.Reason = api.OutcomeUnknown, wire.ReasonUpstreamLost
			return a, 502
		}},
		"two answers are swapped": {"mixed_up", func(job *api.JobRequest, _ int) (*api.Answer, int) {
			a := right(job)
			a.Tasks[0], a.Tasks[1] = a.Tasks[1], a.Tasks[0]
			return a, 200
		}},
		"the hash of another request": {"mixed_up", func(job *api.JobRequest, _ int) (*api.Answer, int) {
			a := right(job)
			a.Tasks[0].Body = []byte(`{"body_sha256":"00"}`)
			return a, 200
		}},
		"no outcome": {"malformed", func(job *api.JobRequest, _ int) (*api.Answer, int) {
			a := right(job)
			a.Outcome = ""
			return a, 200
		}},
		"complete with an error status": {"malformed", func(job *api.JobRequest, _ int) (*api.Answer, int) { return right(job), 502 }},
		"refusal with status 200": {"malformed", func(*api.JobRequest, int) (*api.Answer, int) {
			a, _ := refused(api.OutcomeNotRun, wire.ReasonOverloaded)
			return a, 200
		}},
		"not_run although a task ran": {"malformed", func(job *api.JobRequest, _ int) (*api.Answer, int) {
			a, status := refused(api.OutcomeNotRun, wire.ReasonOverloaded)
			a.Tasks = make([]api.TaskAnswer, len(job.Tasks))
			a.Tasks[0].Outcome = api.OutcomeComplete
			return a, status
		}},
		"overload": {"not_run", func(*api.JobRequest, int) (*api.Answer, int) {
			return refused(api.OutcomeNotRun, wire.ReasonOverloaded)
		}},
		"lost": {"unknown", func(*api.JobRequest, int) (*api.Answer, int) {
			return refused(api.OutcomeUnknown, wire.ReasonUpstreamLost)
		}},
		"broken connections": {"lost", func(*api.JobRequest, int) (*api.Answer, int) {
			return nil, 0
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			t.Parallel()
			result := run(t, &fakeEntry{answer: c.answer}, func(config *loadgen.Config) {
				if c.class == "lost" {
					impatient(config)
				}
			})
			g.Expect(count(result)).To(gomega.HaveKeyWithValue(c.class, result.Jobs))
			g.Expect(result.SlowdownP50.Known()).To(gomega.BeFalse())
			g.Expect(float64(result.InTimeShare)).To(gomega.BeZero())
			if c.class != "not_run" && c.class != "unknown" {
				g.Expect(result.Violations()).To(gomega.HaveLen(1))
			}
		})
	}
}

// Guards against a fault in a single one of many answers that goes unnoticed.
func TestOneFaultAmongMany(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	var once sync.Once
	entry := &fakeEntry{answer: func(job *api.JobRequest, _ int) (*api.Answer, int) {
		a := right(job)
		once.Do(func() { a.Tasks = a.Tasks[1:] })
		return a, 200
	}}
	result := run(t, entry, nil)
	g.Expect(result.Partial).To(gomega.BeEquivalentTo(1))
	g.Expect(result.Complete).To(gomega.Equal(result.Jobs - 1))
}

// Guards against late answers that count as in time, and against a slowdown that leaves out waiting.
func TestLateAnswersAreCounted(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	entry := &fakeEntry{
		delay:  loadgen.LateTolerance + 350*time.Millisecond,
		answer: func(job *api.JobRequest, _ int) (*api.Answer, int) { return right(job), 200 },
	}
	result := run(t, entry, func(c *loadgen.Config) { c.Service.Kinds[0].Deadline = 300 * time.Millisecond })
	g.Expect(result.Late).To(gomega.Equal(result.Jobs))
	g.Expect(result.Complete).To(gomega.Equal(result.Jobs))
	for _, share := range []loadgen.Ratio{result.InTimeShare, result.UrgentInTimeShare, result.CrestInTimeShare, result.CrestUrgentInTimeShare} {
		g.Expect(float64(share)).To(gomega.BeZero())
	}
	g.Expect(float64(result.SlowdownP50)).To(gomega.BeNumerically(">=", 84))
	g.Expect(float64(result.ShortWaitP99)).To(gomega.BeNumerically(">=", 838))
}

// Guards against arrivals that wait for answers: an entry that never answers must still get every job at its time, and
// each of them is lost.
func TestArrivalsDoNotWaitAndSilentEntriesLoseJobs(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	answered := run(t, &fakeEntry{answer: func(job *api.JobRequest, _ int) (*api.Answer, int) { return right(job), 200 }}, nil)
	release := make(chan struct{})
	silent := &fakeEntry{answer: func(*api.JobRequest, int) (*api.Answer, int) { <-release; return nil, 0 }}
	time.AfterFunc(3*time.Second, func() { close(release) })
	begin := time.Now()
	result := run(t, silent, func(c *loadgen.Config) {
		c.Service.Kinds[0].Deadline = 1500 * time.Millisecond
		c.Grace = 500 * time.Millisecond
	})
	g.Expect(result.Jobs).To(gomega.Equal(answered.Jobs))
	g.Expect(result.Lost).To(gomega.Equal(result.Jobs))
	g.Expect(len(silent.seen)).To(gomega.BeEquivalentTo(result.Jobs))
	g.Expect(time.Since(begin)).To(gomega.BeNumerically("<", 10*time.Second))
}

// Guards against a job that is lost although the caller could submit the key again at another entry.
func TestBrokenConnectionsAreRetriedUnderTheSameKey(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	entry := &fakeEntry{answer: func(job *api.JobRequest, copyOf int) (*api.Answer, int) {
		if copyOf == 0 {
			return nil, 0
		}
		return right(job), 200
	}}
	result := run(t, entry, nil)
	g.Expect(result.Complete).To(gomega.Equal(result.Jobs))
	g.Expect(result.Retried).To(gomega.BeNumerically(">=", result.Jobs))
	g.Expect(len(entry.seen)).To(gomega.BeEquivalentTo(result.Jobs))
}

// Guards against a refusal not_run of a key that was complete before, which would tell the caller to run it again, and
// against taking the refusal of a concurrent submission for one.
func TestContradictionsAreCounted(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	// The first copy is held until a concurrent one was refused, or for longer than a concurrent one can be late. So the
	// fake and the generator agree on which refusal came after the answer. On a busy host one was late by more than 2 s.
	const longestLag = 8 * time.Second
	var mu sync.Mutex
	second := make(map[string]chan struct{})
	arrivalOf := func(first string) chan struct{} {
		mu.Lock()
		defer mu.Unlock()
		if second[first] == nil {
			second[first] = make(chan struct{})
		}
		return second[first]
	}
	var complete sync.Map
	var contradictions, concurrent atomic.Uint64
	entry := &fakeEntry{answer: func(job *api.JobRequest, copyOf int) (*api.Answer, int) {
		first := string(job.Tasks[0].Body)
		if copyOf == 0 {
			select {
			case <-arrivalOf(first):
			case <-time.After(longestLag):
			}
			complete.Store(first, true)
			return right(job), 200
		}
		if _, after := complete.Load(first); after {
			contradictions.Add(1)
		} else {
			concurrent.Add(1)
			close(arrivalOf(first))
		}
		return refused(api.OutcomeNotRun, wire.ReasonOverloaded)
	}}
	result := run(t, entry, func(c *loadgen.Config) { c.Service.Load.ResubmitShare = 1 })
	g.Expect(contradictions.Load()).To(gomega.BeNumerically(">", 10))
	g.Expect(concurrent.Load()).To(gomega.BeNumerically(">", 10))
	g.Expect(result.Contradicted).To(gomega.Equal(contradictions.Load()))
	g.Expect(result.Complete).To(gomega.Equal(result.Jobs))
}

// Guards against cancelled jobs that count against the system, and against cancellations that are never sent.
func TestCancellations(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	entry := &fakeEntry{answer: func(*api.JobRequest, int) (*api.Answer, int) {
		return refused(api.OutcomeNotRun, wire.ReasonCancelled)
	}}
	// An answer that comes before the cancellation of its job would make the generator cancel fewer jobs.
	const limit = 5 * time.Second
	var cancelled sync.Map // key to a channel that is closed by the cancellation
	signal := func(key string) chan struct{} {
		c, _ := cancelled.LoadOrStore(key, make(chan struct{}))
		return c.(chan struct{})
	}
	entry.cancelled = func(key string) { close(signal(key)) }
	entry.await = func(key string) {
		select {
		case <-signal(key):
		case <-time.After(limit):
		}
	}
	result := run(t, entry, func(c *loadgen.Config) {
		c.Service.Load.CancelShare = 1
		c.Service.Load.CancelInterval = 100 * time.Millisecond
	})
	g.Expect(result.CancelRequested).To(gomega.Equal(result.Jobs))
	g.Expect(result.Cancelled).To(gomega.Equal(result.Jobs))
	g.Expect(entry.cancels).To(gomega.BeEquivalentTo(result.Jobs))
	g.Expect(result.Reasons).To(gomega.HaveKeyWithValue("cancelled", result.Jobs))
	g.Expect(result.InTimeShare.Known()).To(gomega.BeFalse())
}

// Guards against memory and connections without bound when nothing is answered.
func TestJobsInFlightAreBounded(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	entry := &fakeEntry{delay: 2 * time.Second, answer: func(job *api.JobRequest, _ int) (*api.Answer, int) { return right(job), 200 }}
	result := run(t, entry, func(c *loadgen.Config) {
		c.MaxInFlight = 60
		c.DemandScale = 4
	})
	// Counted where the jobs are: on a busy host arrivals are late, and some come when the first answers have made room.
	g.Expect(entry.most).To(gomega.Equal(60))
	g.Expect(result.NotSent).To(gomega.BeNumerically(">", 100))
}

// Guards against an end that cuts jobs in flight, and against one that goes on sending.
func TestEndIsGraceful(t *testing.T) {
	g := gomega.NewWithT(t)
	before := goleak.IgnoreCurrent()
	entry := &fakeEntry{seen: make(map[string]int), delay: 200 * time.Millisecond}
	entry.answer = func(job *api.JobRequest, _ int) (*api.Answer, int) { return right(job), 200 }
	server := httptest.NewServer(entry)
	ctx, stop := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer stop()
	result, err := loadgen.Run(ctx, loadgen.Config{
		Service: service(), Capacity: 6, FastestFactor: 1, Duration: time.Hour, Grace: 10 * time.Second, Seed: 7, Entries: []string{server.URL},
	})
	server.Close()
	goleak.VerifyNone(t, before)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(result.Jobs).To(gomega.BeNumerically(">", 10))
	g.Expect(result.Complete).To(gomega.Equal(result.Jobs))
}
