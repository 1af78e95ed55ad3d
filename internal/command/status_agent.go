package command

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/agent"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// agentMetrics holds the metrics of an agent that the summary shows.
type agentMetrics struct {
	UptimeSeconds float64           `json:"uptime_seconds"`
	Slots         int               `json:"slots"`
	Running       int               `json:"running"`
	Queued        int               `json:"queued"`
	Starts        uint64            `json:"starts"`
	Results       map[string]uint64 `json:"results"`
	Refusals      map[string]uint64 `json:"refusals"`
	QueuedMicros  float64           `json:"queued_us"`
	ServiceMicros float64           `json:"service_us"`
	SilentLinks   uint64            `json:"silent_links"`
	Services      map[string]struct {
		Revision uint64 `json:"revision"`
		Queued   int    `json:"queued"`
		Running  int    `json:"running"`
	} `json:"services"`
}

func (s *statusSettings) describeAgent(ctx context.Context, r *statusReport, m *agentMetrics) error {
	var d agent.Dump
	if err := s.client.getJSON(ctx, "/dump", &d); err != nil {
		return err
	}
	r.addLine("agent", "%s in %s, incarnation %d, up %s",
		d.ID, formatLocation(d.DataCentre, d.Region), d.Incarnation, formatUptime(m.UptimeSeconds))
	r.addLine("upstream", upstreamState(d.UpstreamUp))
	list := wire.EntryList{}
	if d.List != nil {
		list = *d.List
	}
	r.addLine("list", formatEntryList(&list))
	r.addLine("slots", "%d, %d attempts run and %d wait", m.Slots, m.Running, m.Queued)
	r.addLine("results", "%d attempts taken; results: %s", m.Starts, formatCounts(m.Results))
	r.addLine("refusals", formatCounts(m.Refusals))
	r.addLine("times", "mean wait %s, mean run time %s", meanPerCall(m.QueuedMicros, m), meanPerCall(m.ServiceMicros, m))
	r.addLine("records", "%d start records (%d open), %d refusals, %s of results",
		d.Records.Records, d.Records.Open, d.Records.Refusals, formatMiB(d.Records.ResultBytes))
	r.addLine("links", "%d went silent since the start", m.SilentLinks)
	r.addTable("SERVICE|REVISION|RUNNING|WAITING", agentServiceRows(m))
	r.addTable("ENTRY|INCARNATION|STATE|LAST RESULT", entryRows(&d))
	return nil
}

func upstreamState(up bool) string {
	if up {
		return "reachable"
	}
	return "not reachable; starts are refused until a call reaches it"
}

// meanPerCall divides a sum of microseconds by the number of upstream calls and formats the mean.
func meanPerCall(sum float64, m *agentMetrics) string {
	calls := m.Results["done"] + m.Results["unknown"]
	if calls == 0 {
		return "not known"
	}
	return time.Duration(sum / float64(calls) * float64(time.Microsecond)).Round(10 * time.Microsecond).String()
}

func agentServiceRows(m *agentMetrics) [][]string {
	var rows [][]string
	for _, name := range slices.Sorted(maps.Keys(m.Services)) {
		s := m.Services[name]
		rows = append(rows, []string{
			name, strconv.FormatUint(s.Revision, 10), strconv.Itoa(s.Running), strconv.Itoa(s.Queued),
		})
	}
	return rows
}

// entryRows returns one row for each incarnation of an entry that the agent tracks, those with a link first.
func entryRows(d *agent.Dump) [][]string {
	entries := slices.SortedFunc(slices.Values(d.Homes), func(a, b agent.HomeDump) int {
		return cmp.Or(strings.Compare(linkState(a), linkState(b)), strings.Compare(a.ID, b.ID),
			cmp.Compare(a.Incarnation, b.Incarnation))
	})
	rows := make([][]string, len(entries))
	for i, h := range entries {
		last := "none"
		if !h.LastResult.IsZero() {
			last = formatTime(h.LastResult)
		}
		rows[i] = []string{h.ID, strconv.FormatUint(h.Incarnation, 10), linkState(h), last}
	}
	return rows
}

func linkState(h agent.HomeDump) string {
	if h.Linked {
		return "linked"
	}
	return "no link"
}
