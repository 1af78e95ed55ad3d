package policysim

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/deployment"
	"github.com/coltsfootspur/coltsfootspur/internal/dispatch"
)

// ErrPolicy is returned by Run and Compare when the policy cannot be created.
var ErrPolicy = eris.New("simulation cannot create the policy")

// epoch is the virtual time at which the simulation starts. Only differences from it matter.
var epoch = time.Unix(1_700_000_000, 0)

// startup is the time before the first job. It exceeds the time in which a new entry accepts jobs without an upstream.
const startup = 15 * time.Second

// event is a function that runs at a time. Events at the same time run in the order of their creation.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type events []event

func (q events) Len() int { return len(q) }

func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// Setup describes one run of one policy.
type Setup struct {
	Deployment *deployment.Deployment
	Scenario   Scenario
	Policy     string
	Entries    int
	Seed       uint64
}

// localDelay is the message delay between two processes in one data centre. Deployment files only state the delay
// between data centres.
const localDelay = 200 * time.Microsecond

// agentQueue is the number of tasks that an agent queues for all entries together under ExpectedCompletion.
const agentQueue = 8

// queueLimit returns the number of tasks that the agent of a worker queues. Random and LeastConnections assign tasks
// immediately, so they need a queue for all connections beyond the slots.
func (s Setup) queueLimit(w deployment.Worker) int {
	if s.Policy == dispatch.ExpectedCompletion {
		return agentQueue
	}
	return w.Connections - w.Slots
}

// sim is the state of a run.
type sim struct {
	setup         Setup
	deployment    *deployment.Deployment
	capacity      float64 // seconds of work at speed 1 per second
	minWorkFactor float64 // service time on the fastest worker relative to speed 1
	now           time.Duration
	events        events
	sequence      uint64
	entries       []*entry
	agents        map[string]*agent
	lastJobID     uint64
	figures       *figures
}

func (s *sim) time() time.Time { return epoch.Add(s.now) }

// after schedules a function to run after a virtual duration.
func (s *sim) after(d time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.events, event{s.now + d, s.sequence, do})
}

// delay returns the message delay between two data centres.
func (s *sim) delay(a, b string) time.Duration {
	if a == b {
		return localDelay
	}
	return s.deployment.Network.BetweenDataCentres
}

// Run runs one policy through one scenario. It returns the error of Deployment.Service, or ErrPolicy if the policy
// cannot be created.
func Run(setup Setup) (Figures, error) {
	f, err := run(setup)
	if err != nil {
		return Figures{}, err
	}
	return f.summary(), nil
}

func run(setup Setup) (*figures, error) {
	d := setup.Deployment
	service, err := d.Service("")
	if err != nil {
		return nil, err
	}
	s := &sim{
		setup: setup, deployment: d, agents: make(map[string]*agent),
		capacity: d.Capacity(service.Name), minWorkFactor: d.MinWorkFactor(service.Name),
	}
	s.figures = newFigures(s)
	workers := d.WorkersOf(service.Name)
	s.addAgents(workers)
	if err := s.addEntries(service, workers); err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(setup.Seed, 7))
	specs := drawJobs(d, service, random, setup.Entries, setup.Scenario)
	for i := range specs {
		specs[i].submitted += startup
		s.scheduleJob(&specs[i])
	}
	if lost := setup.Scenario.EntryLostAt; lost > 0 {
		s.after(startup+lost, s.entries[0].markLost)
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.figures.recoverySeconds = s.figures.recoveryTime()
	return s.figures, nil
}

// scheduleJob schedules the arrival of a job at its entry, or at another entry if that one is lost by then.
func (s *sim) scheduleJob(spec *jobSpec) {
	s.after(spec.submitted+s.deployment.Network.ToClients, func() {
		e := s.entries[spec.entry]
		if e.lost {
			e = s.entries[1+int(spec.submitted/time.Microsecond)%(len(s.entries)-1)]
		}
		e.submit(spec)
	})
}

func (s *sim) addAgents(workers []deployment.Worker) {
	for i, w := range workers {
		a := &agent{sim: s, Worker: w, queueLimit: s.setup.queueLimit(w)}
		if i == FaultyUpstream {
			a.failing = s.setup.Scenario.Failing
			if f := s.setup.Scenario.Slowdown; f > 0 {
				a.Speed /= f
			}
		}
		s.agents[w.ID] = a
	}
}

func (s *sim) addEntries(service *deployment.Service, workers []deployment.Worker) error {
	config := dispatch.Config{
		Kinds: make(map[string]dispatch.Kind), Connections: workers[0].Connections / s.setup.Entries,
	}
	for _, k := range service.Kinds {
		config.Kinds[k.Name] = dispatch.Kind{Long: k.Long}
	}
	for i := range s.setup.Entries {
		dc := s.deployment.EntryDataCentre(i)
		p, err := dispatch.New(s.setup.Policy, dispatch.Options{
			Now: epoch, Random: rand.New(rand.NewPCG(s.setup.Seed, uint64(i))), DataCentre: dc, Config: config,
		})
		if err != nil {
			return eris.Wrapf(ErrPolicy, "%v", err)
		}
		for _, w := range workers {
			p.SetUpstream(epoch, dispatch.Upstream{ID: w.ID, DataCentre: w.DataCentre, Slots: w.Slots})
		}
		s.entries = append(s.entries, &entry{sim: s, policy: p, dataCentre: dc, jobs: make(map[uint64]*jobRun)})
	}
	return nil
}
