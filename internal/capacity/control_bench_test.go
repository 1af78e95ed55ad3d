package capacity

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// Load of BenchmarkEntryControl. The figures are those of the target of docs/design.md, section 1.4.
const (
	controlEntries = 8
	// busyAgents carry the work that keeps the quotas active. There are few of them, because traffic takes the place of
	// heartbeats.
	busyAgents = 8
	// teamInterval is the time between two jobs of one team at one entry. Each team is then part of each quota report, of
	// which there is one every 50 s at the target.
	teamInterval = 40 * time.Second
	// editInterval is the time between two of 2,100 edits a day.
	editInterval = 41 * time.Second
	// editedHistory is the number of earlier revisions of 1 KB that an edited record holds, which makes it 14 KB.
	editedHistory  = 13
	controlMeasure = 164 * time.Second // 4 edits, 3 reports of the quotas, 2 rounds of heartbeats at 82 s
)

// BenchmarkEntryControl measures all control parts of one entry together: heartbeats of its agents and of 7 other entries,
// quotas of the teams, edits, watches and its lease. A read of all records, which an entry makes every 4 h, is not in it.
func BenchmarkEntryControl(b *testing.B) {
	for _, size := range []struct{ agents, teams int }{{100, 12}, {365, 60}, {730, 120}} {
		b.Run(fmt.Sprintf("agents=%d/teams=%d", size.agents, size.teams), func(b *testing.B) {
			for range b.N {
				measureControl(b, size.agents, size.teams, teamQuota)
			}
		})
	}
}

// teamQuota is part of a document and refuses nothing here.
const teamQuota = "quota: {rate: 100, burst: 140, running: 100}\n"

// BenchmarkEntryQuotas measures the control parts of one entry with 100 agents by the number of teams, with and without
// quotas. The difference is the cost of the quotas.
func BenchmarkEntryQuotas(b *testing.B) {
	for _, teams := range []int{12, 60, 120} {
		for name, text := range map[string]string{"on": teamQuota, "off": ""} {
			b.Run(fmt.Sprintf("teams=%d/quotas=%s", teams, name), func(b *testing.B) {
				for range b.N {
					measureControl(b, 100, teams, text)
				}
			})
		}
	}
}

func measureControl(b *testing.B, agents, teams int, text string) {
	d := startDeployment(b, controlEntries, teams, text)
	edited := serviceName(teams)
	for range editedHistory {
		d.putDocument(b, edited, padding(d.revisions[edited]))
	}
	// The entry with the highest id accepts the links of the others. Their interval is that of the accepting side, which
	// has as many links as at the target; the others have few here and would ping too often.
	e := d.entries[controlEntries-1]
	waitLinks(b, e, 0, controlEntries-1)
	for _, other := range d.entries {
		waitDocuments(b, other, teams+1)
	}
	connectBusyAgents(b, d, teams)
	connectIdleAgents(b, e, agents-busyAgents, teams)
	stop := make(chan struct{})
	defer close(stop)
	for _, other := range d.entries {
		go submitForTeams(other, teams, stop)
	}
	time.Sleep(teamInterval + idleWarmUp)
	before, cpu, store := e.metrics(b, "entry"), e.cpuSeconds(b), e.store.wireBytes()
	edits(b, d, edited)
	after := e.metrics(b, "entry")
	seconds := controlMeasure.Seconds()
	rate := func(name string) float64 { return (after[name] - before[name]) / seconds }
	frames := rate("control_frames_sent") + rate("control_frames_received")
	links := rate("control_bytes_sent") + rate("control_bytes_received") + 2*segmentBytes*frames
	storeRate := (e.store.wireBytes() - store) / seconds
	b.ReportMetric(links, "links-wireB/s")
	b.ReportMetric(rate("control_bytes_sent")+rate("control_bytes_received"), "links-payloadB/s")
	b.ReportMetric(storeRate, "store-wireB/s")
	b.ReportMetric(links+storeRate, "wireB/s")
	b.ReportMetric(100*(e.cpuSeconds(b)-cpu)/seconds, "%core")
	b.ReportMetric(rate("starts"), "starts/s")
	b.ReportMetric(e.residentBytes(b)/(1<<20), "MiB")
}

// connectBusyAgents connects the same agents to every entry. They serve every team.
func connectBusyAgents(b *testing.B, d *deployment, teams int) {
	var services []string
	for i := range teams {
		services = append(services, serviceName(i))
	}
	for i := range busyAgents {
		hello := newHello(i, services...)
		for _, e := range d.entries {
			mustConnect(b, e.links, hello, &lightAgent{})
		}
	}
}

// connectIdleAgents connects agents of services without work. The first of these services has a document, which its
// agents are sent at each edit.
func connectIdleAgents(b *testing.B, e *entryProcess, n, services int) {
	connectAll(b, n, func(i int) error {
		return connectAgent(b, e.links, newHello(busyAgents+i, serviceName(services+i%services)), &lightAgent{})
	})
}

// submitForTeams submits one job without a key for each team in turn.
func submitForTeams(e *entryProcess, teams int, stop <-chan struct{}) {
	ticker := time.NewTicker(teamInterval / time.Duration(teams))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
			_ = submit(e, serviceName(i%teams), "", 1)
		}
	}
}

// edits puts a new revision at an interval, for the whole measurement.
func edits(b *testing.B, d *deployment, name string) {
	end := time.Now().Add(controlMeasure)
	for time.Until(end) > 0 {
		time.Sleep(editInterval / 2)
		d.putDocument(b, name, padding(d.revisions[name]))
		time.Sleep(min(editInterval/2, time.Until(end)))
	}
}

// padding makes a document 1 KB long and different from its other revisions.
func padding(revision int) string {
	return strings.Repeat(fmt.Sprintf("# padding of edit %4d\n", revision), 36)
}

// waitLinks waits until an entry has so many links to agents and to other entries.
func waitLinks(b *testing.B, e *entryProcess, agents, entries int) {
	b.Helper()
	waitFor(b, "the links are up", func() bool {
		var vars struct {
			Entry struct {
				Links map[string]int `json:"links"`
			} `json:"entry"`
		}
		e.get(b, "/debug/vars", &vars)
		return vars.Entry.Links["agent"] >= agents && vars.Entry.Links["entry"] >= entries
	})
}

// BenchmarkEntryWave measures the reconnection of n agents to an entry that has 7 peers, as after the entry was restarted.
// The bytes hold the handshakes.
func BenchmarkEntryWave(b *testing.B) {
	for _, n := range []int{100, 365, 730} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			for range b.N {
				measureWave(b, n)
			}
		})
	}
}

func measureWave(b *testing.B, n int) {
	const settle = time.Second
	d := startDeployment(b, controlEntries, 120, "")
	e := d.entries[0]
	waitLinks(b, e, 0, controlEntries-1)
	waitDocuments(b, e, 120)
	links := startRelay(b, e.links)
	before, cpu, began := e.metrics(b, "entry"), e.cpuSeconds(b), time.Now()
	connectAll(b, n, func(i int) error {
		return connectAgent(b, links.address, newHello(i, serviceName(i%120)), &lightAgent{})
	})
	elapsed := time.Since(began)
	time.Sleep(settle)
	after, cpuAfter := e.metrics(b, "entry"), e.cpuSeconds(b)
	delta := func(name string) float64 { return after[name] - before[name] }
	// The relay sees the frames of the agents after the handshake, too; what is left of the frames is for the peers.
	frames := delta("control_frames_sent") + delta("control_frames_received")
	b.ReportMetric(links.wireBytes()/float64(n), "agent-wireB/agent")
	b.ReportMetric((delta("control_bytes_sent")+delta("control_bytes_received")+2*segmentBytes*frames)/float64(n), "frames-wireB/agent")
	b.ReportMetric(delta("control_frames_sent")/float64(n), "frames-sent/agent")
	b.ReportMetric(1e3*(cpuAfter-cpu)/float64(n), "cpu-ms/agent")
	b.ReportMetric(1e3*elapsed.Seconds(), "ms")
}

// BenchmarkEntryWavePace measures what a pace for 730 agents that connect to a restarted entry costs its callers: jobs of
// 120 services come in while the agents connect evenly over the given time.
func BenchmarkEntryWavePace(b *testing.B) {
	for _, spread := range []time.Duration{0, 5 * time.Second, 20 * time.Second, 60 * time.Second} {
		b.Run(fmt.Sprintf("spread=%s", spread), func(b *testing.B) {
			for range b.N {
				measureWavePace(b, spread)
			}
		})
	}
}

func measureWavePace(b *testing.B, spread time.Duration) {
	const agents, services, rate = 730, 120, 200
	d := startDeployment(b, 1, services, "")
	e := d.entries[0]
	waitDocuments(b, e, services)
	result := make(chan int64)
	duration := spread + workMeasure
	go func() { result <- driveRate(e, services, rate, duration) }()
	began := time.Now()
	order := rand.Perm(agents)
	for i, agent := range order {
		time.Sleep(time.Until(began.Add(spread * time.Duration(i) / agents)))
		mustConnect(b, e.links, newHello(agent, serviceName(agent%services)), &lightAgent{work: 20 * time.Millisecond})
	}
	failed := float64(<-result)
	b.ReportMetric(failed, "failed")
	b.ReportMetric(100*failed/(rate*duration.Seconds()), "%failed")
}
