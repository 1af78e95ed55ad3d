package command

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/entry"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// entryMetrics holds the metrics of an entry that the summary shows.
type entryMetrics struct {
	UptimeSeconds      float64           `json:"uptime_seconds"`
	RequestsInProgress int               `json:"requests_in_progress"`
	Starts             uint64            `json:"starts"`
	Retries            uint64            `json:"retries"`
	Hedges             uint64            `json:"hedges"`
	WastedMessages     uint64            `json:"wasted_messages"`
	WastedByCause      map[string]uint64 `json:"wasted_by_cause"`
	CallerAnswers      map[string]uint64 `json:"caller_answers"`
	CallerReasons      map[string]uint64 `json:"caller_reasons"`
	Refusals           map[string]uint64 `json:"refusals"`
	SilentLinks        uint64            `json:"silent_links"`
	SuspectedLinks     uint64            `json:"suspected_links"`
	Intake             intakeMetrics     `json:"intake"`
	Services           map[string]struct {
		EjectedUpstreams   int     `json:"ejected_upstreams"`
		ExpectedWaitMillis float64 `json:"expected_wait_ms"`
	} `json:"services"`
}

func (s *statusSettings) describeEntry(ctx context.Context, r *statusReport, m *entryMetrics) error {
	var d entry.Dump
	if err := s.client.getJSON(ctx, "/dump", &d); err != nil {
		return err
	}
	r.addLine("entry", "%s in %s, incarnation %d, up %s",
		d.ID, formatLocation(d.DataCentre, d.Region), d.Incarnation, formatUptime(m.UptimeSeconds))
	r.addLine("store", storeState(d.StoreDown))
	r.addLine("list", formatEntryList(&d.List))
	r.addLine("requests", "%d in progress; answered since the start: %s", m.RequestsInProgress, formatCounts(m.CallerAnswers))
	r.addLine("refusals", formatCounts(m.CallerReasons))
	r.addLine("jobs", "%d run here, %d forwarded, %d wait for recovery", d.RunningJobs, d.Forwards, d.Waiting)
	r.addLine("submissions", "%d remembered, %s of answers", d.Submissions.Entries, formatMiB(d.Submissions.AnswerBytes))
	r.addLine("recovery", formatRecovery(&d))
	r.addLine("starts", "%d, of these %d retries and %d hedges; refused by agents: %s",
		m.Starts, m.Retries, m.Hedges, formatCounts(m.Refusals))
	r.addLine("wasted", "%d messages: %s", m.WastedMessages, formatCounts(m.WastedByCause))
	r.addLine("links", "%s; %d went silent and %d were suspected since the start",
		formatLinks(&d), m.SilentLinks, m.SuspectedLinks)
	r.addLine("clients", "%s of header sections, %s of bodies", formatUse(m.Intake.HeaderBytes, m.Intake.HeaderLimit),
		formatUse(m.Intake.BodyBytes, m.Intake.BodyLimit))
	r.addTable("PORT|OPEN|MOST|PENDING|MOST PENDING|REFUSED", m.Intake.portRows())
	r.addTable("SERVICE|TEAM|REVISION|UPSTREAMS|EJECTED|WAITING|URGENT|EXPECTED WAIT|OPEN|OVERLOADED|NO UPSTREAM|DEADLINE",
		serviceRows(&d, m))
	r.addTable("AGENT|DATA CENTRE|STATE|SLOTS|OPEN|SERVICES", agentRows(&d))
	return nil
}

func formatLocation(dataCentre, region string) string {
	if region == "" {
		return dataCentre
	}
	return dataCentre + " of region " + region
}

func formatUptime(seconds float64) string {
	return (time.Duration(seconds) * time.Second).String()
}

func storeState(down bool) string {
	if down {
		return "not available; no edits and no change of the list, work goes on"
	}
	return "available"
}

func formatEntryList(list *wire.EntryList) string {
	members := make([]string, len(list.Members))
	for i, m := range list.Members {
		members[i] = m.ID
		if m.State == wire.MemberLeaving {
			members[i] += " (leaving)"
		}
	}
	slices.Sort(members)
	return fmt.Sprintf("version %d: %s", list.Version, strings.Join(members, ", "))
}

func formatRecovery(d *entry.Dump) string {
	s := &d.Submissions
	if s.PendingMembers == 0 && s.PendingAgents == 0 {
		return "complete"
	}
	return fmt.Sprintf("waits for %d entries and %d agents", s.PendingMembers, s.PendingAgents)
}

func formatLinks(d *entry.Dump) string {
	agents, entries := 0, 0
	for _, a := range d.Agents {
		if a.Connected {
			agents++
		}
	}
	for _, e := range d.Entries {
		if e.Connected {
			entries++
		}
	}
	return fmt.Sprintf("%d of %d agents, %d of %d other entries", agents, len(d.Agents), entries, len(d.Entries))
}

// serviceRows returns one row for each service, those with the most waiting tasks first.
func serviceRows(d *entry.Dump, m *entryMetrics) [][]string {
	names := slices.SortedFunc(maps.Keys(d.Services), func(a, b string) int {
		return cmp.Or(cmp.Compare(d.Services[b].Policy.Waiting, d.Services[a].Policy.Waiting), strings.Compare(a, b))
	})
	rows := make([][]string, len(names))
	for i, name := range names {
		s := d.Services[name]
		p := s.Policy
		wait := time.Duration(m.Services[name].ExpectedWaitMillis * float64(time.Millisecond)).Round(time.Millisecond)
		rows[i] = []string{
			name, s.Team, strconv.FormatUint(s.Revision, 10), strconv.Itoa(p.Upstreams), strconv.Itoa(p.Ejected),
			strconv.Itoa(p.Waiting), strconv.Itoa(p.WaitingUrgent), wait.String(), strconv.Itoa(p.OpenAttempts),
			strconv.FormatUint(p.Overloaded, 10), strconv.FormatUint(p.NoUpstream, 10), strconv.FormatUint(p.DeadlineMissed, 10),
		}
	}
	return rows
}

// agentRows returns one row for each agent: first those without a link, then those that leave, then the others; within each
// state those with the most open attempts first.
func agentRows(d *entry.Dump) [][]string {
	ids := slices.SortedFunc(maps.Keys(d.Agents), func(a, b string) int {
		x, y := d.Agents[a], d.Agents[b]
		return cmp.Or(
			strings.Compare(agentState(y), agentState(x)), cmp.Compare(y.OpenAttempts, x.OpenAttempts), strings.Compare(a, b))
	})
	rows := make([][]string, len(ids))
	for i, id := range ids {
		a := d.Agents[id]
		rows[i] = []string{
			id, a.DataCentre, agentState(a), strconv.Itoa(int(a.Slots)), strconv.Itoa(a.OpenAttempts), strings.Join(a.Services, ","),
		}
	}
	return rows
}

// agentState returns the state of an agent. agentRows sorts by the reverse alphabetical order of these texts.
func agentState(a entry.AgentDump) string {
	switch {
	case !a.Connected:
		return "no link"
	case a.Leaving:
		return "leaving"
	default:
		return "connected"
	}
}
