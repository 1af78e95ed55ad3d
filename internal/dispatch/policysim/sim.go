package policysim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/dispatch"
)

// ErrPolicy is returned when the policy cannot be created.
var ErrPolicy = eris.New("simulation cannot create the policy")

// epoch is the time at which the simulation starts; only differences matter.
var epoch = time.Unix(1_700_000_000, 0)

// settle is the time before the first job, so that the entries are past their grace time.
const settle = 15 * time.Second

// event is something that happens at a time; events of the same time happen in the order of their creation.
type event struct {
	at       time.Duration
	sequence uint64
	do       func()
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

// Setup is one run of one policy.
type Setup struct {
	Deployment Deployment
	Scenario   Scenario
	Policy     string
	Entries    int
	Seed       uint64
	// AgentQueue is the number of tasks that an agent queues for all entries together; 0 stands for what the policy
	// needs: one slot's worth for late binding, and the connections beyond the slots for policies that bind early.
	AgentQueue int
	Config     dispatch.Config
}

// connections is the number of connections that an upstream accepts from all entries together.
const connections = 64

func (s Setup) withDefaults() Setup {
	if s.AgentQueue == 0 {
		s.AgentQueue = s.Deployment.Slots
		if s.Policy != dispatch.ExpectedCompletion {
			s.AgentQueue = connections - s.Deployment.Slots
		}
	}
	if s.Config.Connections == 0 {
		s.Config.Connections = connections / s.Entries
	}
	return s
}

// sim is the state of a run.
type sim struct {
	setup      Setup
	deployment *Deployment
	now        time.Duration
	queue      events
	sequence   uint64
	entries    []*entry
	agents     []*agent
	byID       map[string]int
	jobs       uint64
	figures    *figures
}

func (s *sim) time() time.Time { return epoch.Add(s.now) }

func (s *sim) after(d time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.queue, event{s.now + d, s.sequence, do})
}

func (s *sim) delay(a, b string) time.Duration {
	if a == b {
		return s.deployment.Local
	}
	return s.deployment.Remote
}

// Run runs one policy through one scenario.
func Run(setup Setup) (Figures, error) {
	f, err := run(setup)
	if err != nil {
		return Figures{}, err
	}
	return f.summary(), nil
}

func run(setup Setup) (*figures, error) {
	setup = setup.withDefaults()
	s := &sim{setup: setup, deployment: &setup.Deployment, byID: make(map[string]int)}
	s.figures = newFigures(s)
	s.addAgents()
	if err := s.addEntries(); err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(setup.Seed, 7))
	specs := s.deployment.arrivals(random, setup.Entries, setup.Scenario.Length, setup.Scenario.load)
	for i := range specs {
		specs[i].at += settle
		s.scheduleJob(&specs[i])
	}
	if lost := setup.Scenario.LostAt; lost > 0 {
		s.after(settle+lost, s.entries[0].die)
	}
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.figures.recovered = s.figures.recovery()
	return s.figures, nil
}

func (s *sim) scheduleJob(spec *jobSpec) {
	s.after(spec.at+s.deployment.Client, func() {
		e := s.entries[spec.entry]
		if e.lost {
			e = s.entries[1+int(spec.at/time.Microsecond)%(len(s.entries)-1)]
		}
		e.submit(spec)
	})
}

func (s *sim) addAgents() {
	d := s.deployment
	for i, speed := range d.Speeds {
		a := &agent{
			sim: s, index: i, id: fmt.Sprintf("worker-%d", i), dataCentre: d.DataCentres[i%len(d.DataCentres)],
			slots: d.Slots, longSlots: d.Slots, queueLimit: s.setup.AgentQueue, speed: speed,
		}
		if i == FaultyUpstream {
			a.failing = s.setup.Scenario.Failing
			if f := s.setup.Scenario.Slowdown; f > 0 {
				a.speed /= f
			}
		}
		s.byID[a.id] = i
		s.agents = append(s.agents, a)
	}
}

func (s *sim) addEntries() error {
	for i := range s.setup.Entries {
		dc := s.deployment.DataCentres[i%len(s.deployment.DataCentres)]
		p, err := dispatch.New(s.setup.Policy, dispatch.Options{
			Now: epoch, Random: rand.New(rand.NewPCG(s.setup.Seed, uint64(i))), DataCentre: dc, Config: s.setup.Config,
		})
		if err != nil {
			return eris.Wrapf(ErrPolicy, "%v", err)
		}
		for _, a := range s.agents {
			p.SetUpstream(epoch, dispatch.Upstream{ID: a.id, DataCentre: a.dataCentre, Slots: a.slots})
		}
		s.entries = append(s.entries, &entry{sim: s, policy: p, dataCentre: dc, jobs: make(map[uint64]*jobRun)})
	}
	return nil
}
