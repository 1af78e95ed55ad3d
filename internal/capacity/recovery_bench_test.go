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

// recoveryAgents is the number of agents that hold equal parts of the start records of the lost entry.
const recoveryAgents = 100

// BenchmarkEntryRecovery measures the CPU time, traffic and memory of the remaining one of two entries when the other one
// is killed and n start records with small answers are recovered from 100 agents. Jobs without a key that are submitted
// during the recovery show how long it delays other work.
func BenchmarkEntryRecovery(b *testing.B) {
	for _, n := range []int{10_000, 30_000, 100_000} {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			for range b.N {
				measureRecovery(b, n)
			}
		})
	}
}

// agentWithRecords is a simulated agent with start records. Its answer to Collect is prepared in advance, so that the
// benchmark process does not compete with the entry for CPU time during the recovery.
type agentWithRecords struct {
	simulatedAgent
	collectReply    []*wire.Records
	collectReceived chan<- struct{}
}

// OnMessage implements link.Handler.
func (a *agentWithRecords) OnMessage(l *link.Link, m wire.Message) {
	collect, ok := m.(*wire.Collect)
	if !ok {
		a.simulatedAgent.OnMessage(l, m)
		return
	}
	select {
	case a.collectReceived <- struct{}{}:
	default:
	}
	for _, part := range a.collectReply {
		part.ListVersion = collect.List.Version
		_ = l.Send(part)
	}
}

// prepareRecords creates records of n finished starts of the entry home and stores the answer of an agent to the Collect
// message with which the entry requester asks for them.
func (a *agentWithRecords) prepareRecords(b *testing.B, list *wire.EntryList, requester, home wire.Member, agent, n int) {
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
		if admission.Decision != records.Run || !starts.MarkRunning(ref) || !starts.Finish(now, ref, done) {
			b.Fatal("a start was not recorded")
		}
	}
	next, err := placement.Expel(list, home.ID, home.Incarnation, now)
	if err != nil {
		b.Fatal(err)
	}
	collect := &wire.Collect{List: next, Expelled: home.ID, ExpelledIncarnation: home.Incarnation}
	a.collectReply, _ = starts.Collect(now, collect, requester.ID, requester.Incarnation)
}

func measureRecovery(b *testing.B, n int) {
	d := startDeployment(b, 2, 1, "", "--lease-ttl", "5s", "--expulsion-delay", "2s")
	survivor, killed := d.entries[0], d.entries[1]
	waitForLinks(b, survivor, 0, 1)
	waitForDocuments(b, survivor, 1)
	collectReceived := make(chan struct{}, 1)
	waitFor(b, "both entries are listed", func() bool { return len(survivor.entryList(b).Members) == 2 })
	list := survivor.entryList(b)
	home, requester := findMember(b, list, "entry-01"), findMember(b, list, "entry-00")
	agents := make([]*agentWithRecords, recoveryAgents)
	for i := range agents {
		agents[i] = &agentWithRecords{collectReceived: collectReceived}
		agents[i].prepareRecords(b, list, requester, home, i, n/recoveryAgents)
	}
	connectConcurrently(b, recoveryAgents, func(i int) error {
		hello := newHello(i, serviceName(0))
		return errors.Join(connectAgent(b, survivor.linkAddress, hello, agents[i]), connectAgent(b, killed.linkAddress, hello, agents[i]))
	})
	waitFor(b, "the agents are connected", func() bool { return submitJob(survivor, serviceName(0), "", 1) == nil })
	cpu, before := survivor.cpuSeconds(b), survivor.metrics(b, "entry")
	_ = killed.command.Process.Kill()
	stop, longest := make(chan struct{}), make(chan time.Duration)
	go func() { longest <- longestResponseTime(survivor, stop) }()
	select {
	case <-collectReceived:
	case <-time.After(2 * time.Minute):
		b.Fatal("no agent was asked for its start records within 2 minutes")
	}
	startedAt := time.Now()
	waitFor(b, "the records are recovered", func() bool { return survivor.submissionCount(b) >= n })
	elapsed, after := time.Since(startedAt), survivor.metrics(b, "entry")
	close(stop)
	bytes := after["control_bytes_received"] - before["control_bytes_received"]
	b.ReportMetric(bytes/float64(n), "B/record")
	b.ReportMetric(1e6*(survivor.cpuSeconds(b)-cpu)/float64(n), "cpu-us/record")
	b.ReportMetric(1e3*elapsed.Seconds(), "ms")
	b.ReportMetric(1e3*(<-longest).Seconds(), "longest-job-ms")
	b.ReportMetric(survivor.residentBytes(b)/(1<<20), "MiB")
}

// probeInterval is the pause between two jobs that measure the delay of other work.
const probeInterval = 5 * time.Millisecond

// longestResponseTime submits one job after another until stop is closed and returns the longest response time.
func longestResponseTime(e *entryProcess, stop <-chan struct{}) (longest time.Duration) {
	for {
		startedAt := time.Now()
		_ = submitJob(e, serviceName(0), "", 1)
		longest = max(longest, time.Since(startedAt))
		select {
		case <-stop:
			return longest
		case <-time.After(probeInterval):
		}
	}
}

func findMember(b *testing.B, list *wire.EntryList, id string) wire.Member {
	b.Helper()
	for _, m := range list.Members {
		if m.ID == id {
			return m
		}
	}
	b.Fatalf("%s is not in the list", id)
	return wire.Member{}
}

// entryList returns the entry's current list of entries.
func (e *entryProcess) entryList(b *testing.B) *wire.EntryList {
	b.Helper()
	var dump struct {
		List wire.EntryList `json:"list"`
	}
	e.getJSON(b, "/dump", &dump)
	return &dump.List
}

// submissionCount returns the number of submissions in the entry's table.
func (e *entryProcess) submissionCount(b *testing.B) int {
	b.Helper()
	var vars struct {
		Entry struct {
			Submissions map[string]int `json:"submissions"`
		} `json:"entry"`
	}
	e.getJSON(b, "/debug/vars", &vars)
	return vars.Entry.Submissions["entries"]
}
