package loadgen

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/api"
	"github.com/coltsfootspur/coltsfootspur/internal/deployment"
)

// shortWork is the longest run time of a short task at speed 1.
const shortWork = time.Second

// longestResubmitDelay bounds the time between an answer and a later resubmission.
const longestResubmitDelay = time.Second

// Sizes of the echoed text. Most are small; some are long enough that a truncated answer cannot pass for a whole one.
const (
	longEchoBytes = 4 << 10
	longEchoShare = 0.02
)

// resubmission tells when a job is submitted again under the same key.
type resubmission uint8

const (
	resubmitNever resubmission = iota
	resubmitWhileRunning
	resubmitAfterAnswer
)

// plannedTask is one task before its key is known.
type plannedTask struct {
	work, declared time.Duration
	padding        uint16
}

// plannedJob is one arrival. It depends on the seed only.
type plannedJob struct {
	// at is the arrival, from the beginning of the load; cancelAt is 0 when the caller does not give up.
	at, cancelAt time.Duration
	kind         *deployment.Kind
	tasks        []plannedTask
	// entry and second are indexes of the entries of the submission and the resubmission.
	entry, second int
	resubmit      resubmission
	// resubmitDelay counts from the arrival or from the answer.
	resubmitDelay time.Duration
	crest         bool
}

// planner draws arrivals in their order.
type planner struct {
	config *Config
	random *rand.Rand
	now    time.Duration
	// highest is the rate in jobs per second at the highest demand.
	highest float64
}

func newPlanner(config *Config) *planner {
	p := &planner{config: config, random: rand.New(rand.NewPCG(config.Seed, 0))}
	load := &config.Service.Load
	p.highest = load.Demand.Highest() * config.DemandScale * config.Capacity / load.WorkPerJob()
	return p
}

// next returns the next arrival, or nil at the end of the load. It thins a Poisson process of the highest rate.
func (p *planner) next() *plannedJob {
	demand := &p.config.Service.Load.Demand
	for {
		p.now += time.Duration(p.random.ExpFloat64() / p.highest * float64(time.Second))
		if p.now >= p.config.Duration {
			return nil
		}
		share, crest := demand.At(p.now)
		if p.random.Float64()*demand.Highest() < share {
			return p.draw(crest)
		}
	}
}

func (p *planner) draw(crest bool) *plannedJob {
	load := &p.config.Service.Load
	kindLoad := load.DrawKind(p.random)
	kind, _ := p.config.Service.Kind(kindLoad.Kind)
	job := &plannedJob{at: p.now, kind: kind, crest: crest}
	job.tasks = make([]plannedTask, kindLoad.DrawTasks(p.random))
	for i := range job.tasks {
		job.tasks[i] = p.drawTask(kindLoad)
	}
	p.drawEntries(job)
	p.drawResubmission(job)
	if p.random.Float64() < load.CancelShare {
		job.cancelAt = (job.at/load.CancelInterval + 1) * load.CancelInterval
	}
	return job
}

func (p *planner) drawTask(kindLoad *deployment.KindLoad) plannedTask {
	work := kindLoad.DrawWork(p.random)
	task := plannedTask{work: work, declared: kindLoad.DrawDeclared(p.random, work)}
	if p.random.Float64() < longEchoShare {
		task.padding = uint16(p.random.IntN(longEchoBytes))
	}
	return task
}

func (p *planner) drawEntries(job *plannedJob) {
	n := len(p.config.Entries)
	job.entry = p.random.IntN(n)
	job.second = job.entry
	if n > 1 {
		job.second = (job.entry + 1 + p.random.IntN(n-1)) % n
	}
}

func (p *planner) drawResubmission(job *plannedJob) {
	if p.random.Float64() >= p.config.Service.Load.ResubmitShare {
		return
	}
	if p.random.IntN(2) == 0 {
		job.resubmit = resubmitWhileRunning
		job.resubmitDelay = time.Duration(p.random.Float64() * float64(job.longest()))
		return
	}
	job.resubmit = resubmitAfterAnswer
	job.resubmitDelay = time.Duration(p.random.Float64() * float64(longestResubmitDelay))
}

// longest returns the run time of the longest task at speed 1.
func (j *plannedJob) longest() time.Duration {
	longest := time.Duration(0)
	for _, t := range j.tasks {
		longest = max(longest, t.work)
	}
	return longest
}

func (j *plannedJob) short() bool { return j.longest() <= shortWork }

// ideal returns the response time on an idle system.
func (j *plannedJob) ideal(c *Config) time.Duration {
	return time.Duration(float64(j.longest())*c.FastestFactor) + c.RoundTrip + 2*c.ClientDelay
}

// echo returns the text that the upstream must answer for a task. It differs for each task of each job, so that an
// answer to another request is detected.
func (j *plannedJob) echo(key string, task int) string {
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

// request returns the job as it is submitted under a key.
func (j *plannedJob) request(key string) *api.JobRequest {
	request := &api.JobRequest{Kind: j.kind.Name, DeadlineMillis: uint32(j.kind.Deadline.Milliseconds())}
	request.Tasks = make([]api.TaskRequest, len(j.tasks))
	for i := range j.tasks {
		request.Tasks[i].Body = j.body(key, i)
	}
	return request
}

// body returns the body of a task: the run time, the size of the padding of the answer and the echo for the stand-in
// upstream, and the declared run time, which is far off and which nothing should trust.
func (j *plannedJob) body(key string, task int) []byte {
	text := make([]byte, 0, 96+int(j.tasks[task].padding))
	text = append(text, `{"work_ms":`...)
	text = strconv.AppendInt(text, j.tasks[task].work.Milliseconds(), 10)
	text = append(text, `,"declared_ms":`...)
	text = strconv.AppendInt(text, j.tasks[task].declared.Milliseconds(), 10)
	if padding := j.tasks[task].padding; padding > 0 {
		text = append(text, `,"answer_bytes":`...)
		text = strconv.AppendUint(text, uint64(padding), 10)
	}
	text = append(text, `,"echo":`...)
	text = strconv.AppendQuote(text, j.echo(key, task))
	return append(text, '}')
}
