package capacity

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// Load of BenchmarkEntryControl. The values are those of the capacity target in section 1.4 of docs/design.md.
const (
	controlEntries = 8
	// busyAgents is the number of agents that run the jobs that keep the quotas active. It is small because an agent with
	// traffic sends no heartbeats.
	busyAgents = 8
	// teamInterval is the time between two jobs of one team at one entry. It is shorter than the interval between quota
	// reports, which is 50 s at the target, so that each report includes every team.
	teamInterval = 40 * time.Second
	// editInterval is the time between two edits at the target's 2,100 edits per day.
	editInterval = 41 * time.Second
	// editedRevisions is the number of earlier revisions, of 1 KB each, in the record of the edited document. The record is
	// then 14 KB long.
	editedRevisions    = 13
	controlMeasureTime = 164 * time.Second // 4 edits, 3 quota reports, 2 heartbeat intervals of 82 s
)

// BenchmarkEntryControl measures the complete control traffic of one entry: heartbeats of its agents and of 7 other
// entries, quotas of the teams, edits, watches and its lease. It does not include the read of all records that an entry
// makes every 4 h.
func BenchmarkEntryControl(b *testing.B) {
	for _, size := range []struct{ agents, teams int }{{100, 12}, {365, 60}, {730, 120}} {
		b.Run(fmt.Sprintf("agents=%d/teams=%d", size.agents, size.teams), func(b *testing.B) {
			for range b.N {
				measureControl(b, size.agents, size.teams, teamQuota)
			}
		})
	}
}

// teamQuota is the quota section of a service document. Its limits are too high to refuse any job of the benchmarks.
const teamQuota = "quota: {rate: 100, burst: 140, running: 100}\n"

// BenchmarkEntryQuotas measures the control traffic of one entry with 100 agents for several numbers of teams, with and
// without quotas. The difference is the cost of the quotas.
func BenchmarkEntryQuotas(b *testing.B) {
	for _, teams := range []int{12, 60, 120} {
		for name, documentSuffix := range map[string]string{"on": teamQuota, "off": ""} {
			b.Run(fmt.Sprintf("teams=%d/quotas=%s", teams, name), func(b *testing.B) {
				for range b.N {
					measureControl(b, 100, teams, documentSuffix)
				}
			})
		}
	}
}

func measureControl(b *testing.B, agents, teams int, documentSuffix string) {
	d := startDeployment(b, controlEntries, teams, documentSuffix)
	edited := serviceName(teams)
	for range editedRevisions {
		d.putDocument(b, edited, documentPadding(d.revisions[edited]))
	}
	// The entry with the highest id accepts the links of all others. The accepting side of a link determines the heartbeat
	// interval by its number of links. Only this entry has as many links as at the target; the others have few and would
	// send heartbeats too often.
	e := d.entries[controlEntries-1]
	waitForLinks(b, e, 0, controlEntries-1)
	for _, other := range d.entries {
		waitForDocuments(b, other, teams+1)
	}
	connectBusyAgents(b, d, teams)
	connectIdleAgents(b, e, agents-busyAgents, teams)
	stop := make(chan struct{})
	defer close(stop)
	for _, other := range d.entries {
		go submitForTeams(other, teams, stop)
	}
	time.Sleep(teamInterval + idleWarmUp)
	before, cpu, store := e.metrics(b, "entry"), e.cpuSeconds(b), e.storeRelay.wireBytes()
	putEdits(b, d, edited)
	after := e.metrics(b, "entry")
	seconds := controlMeasureTime.Seconds()
	rate := func(name string) float64 { return (after[name] - before[name]) / seconds }
	frames := rate("control_frames_sent") + rate("control_frames_received")
	linkRate := rate("control_bytes_sent") + rate("control_bytes_received") + 2*segmentHeaderBytes*frames
	storeRate := (e.storeRelay.wireBytes() - store) / seconds
	b.ReportMetric(linkRate, "links-wireB/s")
	b.ReportMetric(rate("control_bytes_sent")+rate("control_bytes_received"), "links-payloadB/s")
	b.ReportMetric(storeRate, "store-wireB/s")
	b.ReportMetric(linkRate+storeRate, "wireB/s")
	b.ReportMetric(100*(e.cpuSeconds(b)-cpu)/seconds, "%core")
	b.ReportMetric(rate("starts"), "starts/s")
	b.ReportMetric(e.residentBytes(b)/(1<<20), "MiB")
}

// connectBusyAgents connects the agents that run jobs to every entry. They serve the services of all teams.
func connectBusyAgents(b *testing.B, d *deployment, teams int) {
	var services []string
	for i := range teams {
		services = append(services, serviceName(i))
	}
	for i := range busyAgents {
		hello := newHello(i, services...)
		for _, e := range d.entries {
			mustConnect(b, e.linkAddress, hello, &simulatedAgent{})
		}
	}
}

// connectIdleAgents connects agents of services that get no jobs. Only the first of these services has a document, which
// the entry sends to the agents of the service after each edit.
func connectIdleAgents(b *testing.B, e *entryProcess, n, services int) {
	connectConcurrently(b, n, func(i int) error {
		return connectAgent(b, e.linkAddress, newHello(busyAgents+i, serviceName(services+i%services)), &simulatedAgent{})
	})
}

// submitForTeams submits jobs without a key for the teams in turn until stop is closed.
func submitForTeams(e *entryProcess, teams int, stop <-chan struct{}) {
	ticker := time.NewTicker(teamInterval / time.Duration(teams))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
			_ = submitJob(e, serviceName(i%teams), "", 1)
		}
	}
}

// putEdits puts a new revision of a document once per editInterval and returns at the end of the measurement.
func putEdits(b *testing.B, d *deployment, name string) {
	end := time.Now().Add(controlMeasureTime)
	for time.Until(end) > 0 {
		time.Sleep(editInterval / 2)
		d.putDocument(b, name, documentPadding(d.revisions[name]))
		time.Sleep(min(editInterval/2, time.Until(end)))
	}
}

// documentPadding returns comments that make a document about 1 KB long and different from its other revisions.
func documentPadding(revision int) string {
	return strings.Repeat(fmt.Sprintf("# padding of edit %4d\n", revision), 36)
}

// waitForLinks waits until an entry has at least the given numbers of links to agents and to other entries.
func waitForLinks(b *testing.B, e *entryProcess, agents, entries int) {
	b.Helper()
	waitFor(b, "the links are up", func() bool {
		var vars struct {
			Entry struct {
				Links map[string]int `json:"links"`
			} `json:"entry"`
		}
		e.getJSON(b, "/debug/vars", &vars)
		return vars.Entry.Links["agent"] >= agents && vars.Entry.Links["entry"] >= entries
	})
}

// BenchmarkEntryWave measures a wave of reconnections: n agents connect concurrently to an entry with 7 peers, as they do
// after a restart of the entry. The bytes include the handshakes.
func BenchmarkEntryWave(b *testing.B) {
	for _, n := range []int{100, 365, 730} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			for range b.N {
				measureReconnectWave(b, n)
			}
		})
	}
}

func measureReconnectWave(b *testing.B, n int) {
	const settleTime = time.Second
	d := startDeployment(b, controlEntries, 120, "")
	e := d.entries[0]
	waitForLinks(b, e, 0, controlEntries-1)
	waitForDocuments(b, e, 120)
	linkRelay := startRelay(b, e.linkAddress)
	before, cpu, startedAt := e.metrics(b, "entry"), e.cpuSeconds(b), time.Now()
	connectConcurrently(b, n, func(i int) error {
		return connectAgent(b, linkRelay.address, newHello(i, serviceName(i%120)), &simulatedAgent{})
	})
	elapsed := time.Since(startedAt)
	time.Sleep(settleTime)
	after, cpuAfter := e.metrics(b, "entry"), e.cpuSeconds(b)
	delta := func(name string) float64 { return after[name] - before[name] }
	// The relay also counts the agents' frames after the handshake. The frames that it does not count belong to the peers.
	frames := delta("control_frames_sent") + delta("control_frames_received")
	b.ReportMetric(linkRelay.wireBytes()/float64(n), "agent-wireB/agent")
	b.ReportMetric((delta("control_bytes_sent")+delta("control_bytes_received")+2*segmentHeaderBytes*frames)/float64(n), "frames-wireB/agent")
	b.ReportMetric(delta("control_frames_sent")/float64(n), "frames-sent/agent")
	b.ReportMetric(1e3*(cpuAfter-cpu)/float64(n), "cpu-ms/agent")
	b.ReportMetric(1e3*elapsed.Seconds(), "ms")
}

// BenchmarkEntryWavePace measures how many jobs fail while 730 agents connect to a restarted entry at a limited pace: jobs
// of 120 services arrive while the connections of the agents are spread evenly over the given time.
func BenchmarkEntryWavePace(b *testing.B) {
	for _, spread := range []time.Duration{0, 5 * time.Second, 20 * time.Second, 60 * time.Second} {
		b.Run(fmt.Sprintf("spread=%s", spread), func(b *testing.B) {
			for range b.N {
				measurePacedReconnectWave(b, spread)
			}
		})
	}
}

func measurePacedReconnectWave(b *testing.B, spread time.Duration) {
	const agents, services, rate = 730, 120, 200
	d := startDeployment(b, 1, services, "")
	e := d.entries[0]
	waitForDocuments(b, e, services)
	result := make(chan int64)
	duration := spread + workMeasureTime
	go func() { result <- submitAtRate(e, services, rate, duration) }()
	startedAt := time.Now()
	order := rand.Perm(agents)
	for i, agent := range order {
		time.Sleep(time.Until(startedAt.Add(spread * time.Duration(i) / agents)))
		mustConnect(b, e.linkAddress, newHello(agent, serviceName(agent%services)), &simulatedAgent{work: 20 * time.Millisecond})
	}
	failed := float64(<-result)
	b.ReportMetric(failed, "failed")
	b.ReportMetric(100*failed/(rate*duration.Seconds()), "%failed")
}
