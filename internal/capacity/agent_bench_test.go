package capacity

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAgentWork measures the CPU time, link traffic and memory of an agent per task start, with real requests to a
// stand-in upstream. The memory grows with the start records, which are kept for the retention window.
func BenchmarkAgentWork(b *testing.B) {
	for _, callers := range []int{2, 8, 16} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			for range b.N {
				measureAgentWork(b, callers)
			}
		})
	}
}

func measureAgentWork(b *testing.B, callers int) {
	d := startDeployment(b, 1, 1, "")
	e := d.entries[0]
	waitForDocuments(b, e, 1)
	upstream := freeAddress(b)
	startProcess(b, "", "stand-in", "upstream", "--address", upstream)
	admin := freeAddress(b)
	a := startProcess(b, admin, "agent", "--id", "agent-0000", "--data-centre", "dc", "--services", serviceName(0),
		"--entries", e.linkAddress, "--upstream", "http://"+upstream, "--link-token", token, "--slots", "8",
		"--admin-address", admin, "--admin-token", token, "--log-level", "error")
	a.waitReady(b)
	waitFor(b, "the agent is connected", func() bool { return submitJob(e, serviceName(0), "warm-up", 1) == nil })
	idle := a.residentBytes(b)
	before, cpu := a.metrics(b, "agent"), a.cpuSeconds(b)
	submitConcurrently(b, e, callers, 1, workMeasureTime)
	after := a.metrics(b, "agent")
	starts := after["starts"] - before["starts"]
	b.ReportMetric(starts/workMeasureTime.Seconds(), "starts/s")
	b.ReportMetric(1e6*(a.cpuSeconds(b)-cpu)/starts, "cpu-us/start")
	b.ReportMetric((after["work_bytes_sent"]+after["work_bytes_received"]-before["work_bytes_sent"]-before["work_bytes_received"])/starts, "linkB/start")
	b.ReportMetric(idle/(1<<20), "idle-MiB")
	b.ReportMetric(a.residentBytes(b)/(1<<20), "MiB")
}

// BenchmarkAgentIdle measures the control traffic, CPU time and memory of an idle agent that is connected to n entries.
func BenchmarkAgentIdle(b *testing.B) {
	for _, n := range []int{3, 6, 12} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			for range b.N {
				measureAgentIdle(b, n)
			}
		})
	}
}

func measureAgentIdle(b *testing.B, n int) {
	const measureTime = 20 * time.Second
	d := startDeployment(b, n, 1, "")
	admin := freeAddress(b)
	a := startProcess(b, admin, "agent", "--id", "agent-0000", "--data-centre", "dc", "--services", serviceName(0),
		"--entries", d.entries[0].linkAddress, "--upstream", "http://"+freeAddress(b), "--link-token", token,
		"--admin-address", admin, "--admin-token", token, "--log-level", "error")
	a.waitReady(b)
	time.Sleep(idleWarmUp)
	before, cpu := a.metrics(b, "agent"), a.cpuSeconds(b)
	entryBefore := d.entries[0].metrics(b, "entry")
	time.Sleep(measureTime)
	after := a.metrics(b, "agent")
	entryAfter := d.entries[0].metrics(b, "entry")
	bytes := after["control_bytes_sent"] + after["control_bytes_received"] - before["control_bytes_sent"] - before["control_bytes_received"]
	entryBytes := entryAfter["control_bytes_sent"] + entryAfter["control_bytes_received"] - entryBefore["control_bytes_sent"] - entryBefore["control_bytes_received"]
	b.ReportMetric(bytes/measureTime.Seconds(), "payloadB/s")
	b.ReportMetric(entryBytes/measureTime.Seconds(), "entry-payloadB/s")
	b.ReportMetric(100*(a.cpuSeconds(b)-cpu)/measureTime.Seconds(), "%core")
	b.ReportMetric(a.residentBytes(b)/(1<<20), "MiB")
}
