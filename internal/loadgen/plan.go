package loadgen

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/api"
	"github.com/coltsfootspur/coltsfootspur/internal/deployment"
)

// maxShortWork is the longest run time, at speed 1, of a task that counts as short.
const maxShortWork = time.Second

// maxResubmitDelay is the longest time between an answer and a planned resubmission.
const maxResubmitDelay = time.Second

// Size and share of long echoed texts. Most texts are short; some are long enough that a truncated answer is detected.
const (
	longEchoBytes = 4 << 10
	longEchoShare = 0.02
)

// resubmission is the point at which a job is submitted again under the same key.
type resubmission uint8

const (
	resubmitNever resubmission = iota
	resubmitWhileRunning
	resubmitAfterAnswer
)

// plannedTask holds the random values of one task. Its body is built later, when the key of the job is known.
type plannedTask struct {
	work, declaredWork time.Duration
	padding            uint16
}

// plannedJob is one arrival. It is determined by the seed and the configuration.
type plannedJob struct {
	// arrivalOffset and cancelOffset count from the start of the load; cancelOffset is 0 if the caller does not cancel.
	arrivalOffset, cancelOffset time.Duration
	kind                        *deployment.Kind
	tasks                       []plannedTask
	// submitEntry is the index of the entry that gets the submission, resubmitEntry that of the one that gets the
	// resubmission and the cancellation.
	submitEntry, resubmitEntry int
	resubmit                   resubmission
	// resubmitDelay counts from the arrival for resubmitWhileRunning and from the answer for resubmitAfterAnswer.
	resubmitDelay time.Duration
	atPeak        bool
}

// planner draws random arrivals in chronological order.
type planner struct {
	config  *Config
	random  *rand.Rand
	elapsed time.Duration
	// peakJobRate is the arrival rate in jobs per second at the highest demand.
	peakJobRate float64
}

func newPlanner(config *Config) *planner {
	p := &planner{config: config, random: rand.New(rand.NewPCG(config.Seed, 0))}
	load := &config.Service.Load
	p.peakJobRate = load.Demand.Highest() * config.DemandScale * config.Capacity / load.WorkPerJob()
	return p
}

// next returns the next arrival, or nil at the end of the load. It draws arrivals from a Poisson process with the peak
// rate and drops some of them so that the rate follows the demand (thinning).
func (p *planner) next() *plannedJob {
	demand := &p.config.Service.Load.Demand
	for {
		p.elapsed += time.Duration(p.random.ExpFloat64() / p.peakJobRate * float64(time.Second))
		if p.elapsed >= p.config.Duration {
			return nil
		}
		share, atPeak := demand.At(p.elapsed)
		if p.random.Float64()*demand.Highest() < share {
			return p.drawJob(atPeak)
		}
	}
}

func (p *planner) drawJob(atPeak bool) *plannedJob {
	load := &p.config.Service.Load
	kindLoad := load.DrawKind(p.random)
	kind, _ := p.config.Service.Kind(kindLoad.Kind)
	job := &plannedJob{arrivalOffset: p.elapsed, kind: kind, atPeak: atPeak}
	job.tasks = make([]plannedTask, kindLoad.DrawTasks(p.random))
	for i := range job.tasks {
		job.tasks[i] = p.drawTask(kindLoad)
	}
	p.drawEntries(job)
	p.drawResubmission(job)
	if p.random.Float64() < load.CancelShare {
		job.cancelOffset = (job.arrivalOffset/load.CancelInterval + 1) * load.CancelInterval
	}
	return job
}

func (p *planner) drawTask(kindLoad *deployment.KindLoad) plannedTask {
	work := kindLoad.DrawWork(p.random)
	task := plannedTask{work: work, declaredWork: kindLoad.DrawDeclared(p.random, work)}
	if p.random.Float64() < longEchoShare {
		task.padding = uint16(p.random.IntN(longEchoBytes))
	}
	return task
}

func (p *planner) drawEntries(job *plannedJob) {
	n := len(p.config.Entries)
	job.submitEntry = p.random.IntN(n)
	job.resubmitEntry = job.submitEntry
	if n > 1 {
		job.resubmitEntry = (job.submitEntry + 1 + p.random.IntN(n-1)) % n
	}
}

func (p *planner) drawResubmission(job *plannedJob) {
	if p.random.Float64() >= p.config.Service.Load.ResubmitShare {
		return
	}
	if p.random.IntN(2) == 0 {
		job.resubmit = resubmitWhileRunning
		job.resubmitDelay = time.Duration(p.random.Float64() * float64(job.longestWork()))
		return
	}
	job.resubmit = resubmitAfterAnswer
	job.resubmitDelay = time.Duration(p.random.Float64() * float64(maxResubmitDelay))
}

// longestWork returns the run time, at speed 1, of the longest task.
func (j *plannedJob) longestWork() time.Duration {
	longest := time.Duration(0)
	for _, t := range j.tasks {
		longest = max(longest, t.work)
	}
	return longest
}

func (j *plannedJob) isShort() bool { return j.longestWork() <= maxShortWork }

// idealResponseTime returns the response time of the job on an idle system that runs it on the fastest upstream.
func (j *plannedJob) idealResponseTime(c *Config) time.Duration {
	return time.Duration(float64(j.longestWork())*c.MinWorkFactor) + c.RoundTrip + 2*c.ClientDelay
}

// expectedEcho returns the text that the upstream must echo for a task. It is different for each task of each job, so that
// an answer to another request is detected.
func (j *plannedJob) expectedEcho(key string, task int) string {
	text := make([]byte, 0, len(key)+8+int(j.tasks[task].padding))
	text = append(text, key...)
	text = append(text, '/')
	text = strconv.AppendInt(text, int64(task), 10)
	text = append(text, '/')
	for i := range int(j.tasks[task].padding) {
		text = append(text, 'a'+byte((i+task)%26))
	}
	return string(text)
}

// jobRequest returns the request that submits the job under a key.
func (j *plannedJob) jobRequest(key string) *api.JobRequest {
	request := &api.JobRequest{Kind: j.kind.Name, DeadlineMillis: uint32(j.kind.Deadline.Milliseconds())}
	request.Tasks = make([]api.TaskRequest, len(j.tasks))
	for i := range j.tasks {
		request.Tasks[i].Body = j.taskBody(key, i)
	}
	return request
}

// taskBody returns the request body of a task. The stand-in upstream uses the run time, the size of the padding in the
// answer and the echo. The declared run time is inaccurate on purpose: no part of the system may rely on it.
func (j *plannedJob) taskBody(key string, task int) []byte {
	text := make([]byte, 0, 96+int(j.tasks[task].padding))
	text = append(text, `{"work_ms":`...)
	text = strconv.AppendInt(text, j.tasks[task].work.Milliseconds(), 10)
	text = append(text, `,"declared_ms":`...)
	text = strconv.AppendInt(text, j.tasks[task].declaredWork.Milliseconds(), 10)
	if padding := j.tasks[task].padding; padding > 0 {
		text = append(text, `,"answer_bytes":`...)
		text = strconv.AppendUint(text, uint64(padding), 10)
	}
	text = append(text, `,"echo":`...)
	text = strconv.AppendQuote(text, j.expectedEcho(key, task))
	return append(text, '}')
}
