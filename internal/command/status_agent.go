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

// agentMetrics are the metrics of an agent that the summary shows.
type agentMetrics struct {
	Uptime        float64           `json:"uptime_seconds"`
	Slots         int               `json:"slots"`
	Running       int               `json:"running"`
	Queued        int               `json:"queued"`
	Starts        uint64            `json:"starts"`
	Results       map[string]uint64 `json:"results"`
	Refusals      map[string]uint64 `json:"refusals"`
	QueuedMicros  float64           `json:"queued_us"`
	ServiceMicros float64           `json:"service_us"`
	Silent        uint64            `json:"silent_links"`
	Services      map[string]struct {
		Revision uint64 `json:"revision"`
		Queued   int    `json:"queued"`
		Running  int    `json:"running"`
	} `json:"services"`
}

func (s *statusSettings) describeAgent(ctx context.Context, r *report, m *agentMetrics) error {
	var d agent.Dump
	if err := s.operator.decode(ctx, "/dump", &d); err != nil {
		return err
	}
	r.line("agent", "%s in %s, incarnation %d, up %s", d.ID, place(d.DataCentre, d.Region), d.Incarnation, uptime(m.Uptime))
	r.line("upstream", upstreamState(d.UpstreamUp))
	list := wire.EntryList{}
	if d.List != nil {
		list = *d.List
	}
	r.line("list", listText(&list))
	r.line("slots", "%d, %d attempts run and %d wait", m.Slots, m.Running, m.Queued)
	r.line("results", "%d attempts taken; results: %s", m.Starts, counts(m.Results))
	r.line("refusals", counts(m.Refusals))
	r.line("times", "mean wait %s, mean run time %s", mean(m.QueuedMicros, m), mean(m.ServiceMicros, m))
	r.line("records", "%d start records (%d open), %d refusals, %s of results",
		d.Records.Records, d.Records.Open, d.Records.Refusals, mebibytes(d.Records.ResultBytes))
	r.line("links", "%d went silent since the start", m.Silent)
	r.table("SERVICE|REVISION|RUNNING|WAITING", agentServiceRows(m))
	r.table("ENTRY|INCARNATION|STATE|LAST RESULT", homeRows(&d))
	return nil
}

func upstreamState(up bool) string {
	if up {
		return "reachable"
	}
	return "not reachable; starts are refused until a call reaches it"
}

// mean divides a sum of microseconds by the number of calls to the upstream.
func mean(sum float64, m *agentMetrics) string {
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

// homeRows returns the incarnations of entries that the agent knows, those with a link first.
func homeRows(d *agent.Dump) [][]string {
	homes := slices.SortedFunc(slices.Values(d.Homes), func(a, b agent.HomeDump) int {
		return cmp.Or(strings.Compare(homeState(a), homeState(b)), strings.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	rows := make([][]string, len(homes))
	for i, h := range homes {
		last := "none"
		if !h.LastResult.IsZero() {
			last = formatTime(h.LastResult)
		}
		rows[i] = []string{h.ID, strconv.FormatUint(h.Incarnation, 10), homeState(h), last}
	}
	return rows
}

func homeState(h agent.HomeDump) string {
	if h.Linked {
		return "linked"
	}
	return "no link"
}
