package capacity

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/agent/records"
	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// recoveryAgents is the number of agents that hold the records of the lost entry in equal parts.
const recoveryAgents = 100

// BenchmarkEntryRecovery measures what the remaining one of two entries spends when the other one is killed and n start
// records with small answers are recovered from 100 agents. Jobs without a key that are submitted meanwhile show how long
// the recovery keeps other work waiting.
func BenchmarkEntryRecovery(b *testing.B) {
	for _, n := range []int{10_000, 30_000, 100_000} {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			for range b.N {
				measureRecovery(b, n)
			}
		})
	}
}

// recordAgent is a light agent with start records. Its answer to Collect is prepared, so that this process leaves the
// processor to the entry during a recovery.
type recordAgent struct {
	lightAgent
	answer []*wire.Records
	asked  chan<- struct{}
}

// OnMessage implements link.Handler.
func (a *recordAgent) OnMessage(l *link.Link, m wire.Message) {
	question, ok := m.(*wire.Collect)
	if !ok {
		a.lightAgent.OnMessage(l, m)
		return
	}
	select {
	case a.asked <- struct{}{}:
	default:
	}
	for _, part := range a.answer {
		part.ListVersion = question.List.Version
		_ = l.Send(part)
	}
}

// prepare records n finished starts of a home and keeps what an agent answers about them to the other member.
func (a *recordAgent) prepare(b *testing.B, list *wire.EntryList, asker, home wire.Member, agent, n int) {
	b.Helper()
	now := time.Now()
	starts := records.New(records.Config{})
	starts.Adopt(list)
	for i := range n {
		start := &wire.Start{
			Attempt: uint64(i + 1), Home: home.ID, HomeIncarnation: home.Incarnation, ListVersion: list.Version,
			Tasks: 1, Service: serviceName(0), Kind: "work", Idempotent: true, Expires: now.Add(time.Second),
		}
		start.Key = placement.HashKey(start.Service, fmt.Sprintf("key-%d-%d", agent, i))
		start.Digest = start.Key
		admission := starts.Admit(now, start, wire.RefusedNone)
		ref := records.RefOf(start)
		done := &wire.Result{
			Attempt: start.Attempt, State: wire.AttemptDone, Status: 200, Body: answerBody,
			Headers: []wire.Header{{Name: "Content-Type", Value: "application/json"}},
		}
		if admission.Verdict != records.Run || !starts.Running(ref) || !starts.Finish(now, ref, done) {
			b.Fatal("a start was not recorded")
		}
	}
	next, err := placement.Expel(list, home.ID, home.Incarnation, now)
	if err != nil {
		b.Fatal(err)
	}
	question := &wire.Collect{List: next, Expelled: home.ID, ExpelledIncarnation: home.Incarnation}
	a.answer, _ = starts.Collect(now, question, asker.ID, asker.Incarnation)
}

func measureRecovery(b *testing.B, n int) {
	d := startDeployment(b, 2, 1, "", "--lease-ttl", "5s", "--expulsion-delay", "2s")
	survivor, victim := d.entries[0], d.entries[1]
	waitLinks(b, survivor, 0, 1)
	waitDocuments(b, survivor, 1)
	asked := make(chan struct{}, 1)
	waitFor(b, "both entries are listed", func() bool { return len(survivor.list(b).Members) == 2 })
	list := survivor.list(b)
	home, asker := member(b, list, "entry-01"), member(b, list, "entry-00")
	agents := make([]*recordAgent, recoveryAgents)
	for i := range agents {
		agents[i] = &recordAgent{asked: asked}
		agents[i].prepare(b, list, asker, home, i, n/recoveryAgents)
	}
	connectAll(b, recoveryAgents, func(i int) error {
		hello := newHello(i, serviceName(0))
		return errors.Join(connectAgent(b, survivor.links, hello, agents[i]), connectAgent(b, victim.links, hello, agents[i]))
	})
	waitFor(b, "the agents are connected", func() bool { return submit(survivor, serviceName(0), "", 1) == nil })
	cpu, before := survivor.cpuSeconds(b), survivor.metrics(b, "entry")
	_ = victim.command.Process.Kill()
	stop, longest := make(chan struct{}), make(chan time.Duration)
	go func() { longest <- probeLatency(survivor, stop) }()
	select {
	case <-asked:
	case <-time.After(2 * time.Minute):
		b.Fatal("the agents were not asked for their records")
	}
	began := time.Now()
	waitFor(b, "the records are recovered", func() bool { return survivor.recovered(b) >= n })
	elapsed, after := time.Since(began), survivor.metrics(b, "entry")
	close(stop)
	bytes := after["control_bytes_received"] - before["control_bytes_received"]
	b.ReportMetric(bytes/float64(n), "B/record")
	b.ReportMetric(1e6*(survivor.cpuSeconds(b)-cpu)/float64(n), "cpu-us/record")
	b.ReportMetric(1e3*elapsed.Seconds(), "ms")
	b.ReportMetric(1e3*(<-longest).Seconds(), "longest-job-ms")
	b.ReportMetric(survivor.residentBytes(b)/(1<<20), "MiB")
}

// probeInterval is the pause between two jobs that show how long others wait.
const probeInterval = 5 * time.Millisecond

// probeLatency submits one job after the other and returns the longest response time.
func probeLatency(e *entryProcess, stop <-chan struct{}) (longest time.Duration) {
	for {
		began := time.Now()
		_ = submit(e, serviceName(0), "", 1)
		longest = max(longest, time.Since(began))
		select {
		case <-stop:
			return longest
		case <-time.After(probeInterval):
		}
	}
}

func member(b *testing.B, list *wire.EntryList, id string) wire.Member {
	b.Helper()
	for _, m := range list.Members {
		if m.ID == id {
			return m
		}
	}
	b.Fatalf("%s is not in the list", id)
	return wire.Member{}
}

// list returns the list of entries that the entry has.
func (e *entryProcess) list(b *testing.B) *wire.EntryList {
	b.Helper()
	var dump struct {
		List wire.EntryList `json:"list"`
	}
	e.get(b, "/dump", &dump)
	return &dump.List
}

// recovered returns the number of submissions that the entry has.
func (e *entryProcess) recovered(b *testing.B) int {
	b.Helper()
	var vars struct {
		Entry struct {
			Submissions map[string]int `json:"submissions"`
		} `json:"entry"`
	}
	e.get(b, "/debug/vars", &vars)
	return vars.Entry.Submissions["entries"]
}
