package agent

import (
	"context"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/admin"
	"github.com/coltsfootspur/coltsfootspur/internal/agent/records"
)

// figures are the metrics that the control goroutine owns. A published value does not change any more.
type figures struct {
	at       time.Time
	slots    int
	records  records.Stats
	homes    int
	services map[string]serviceFigures
}

// serviceFigures are the metrics of one service. Queued and Running count attempts.
type serviceFigures struct {
	Revision uint64 `json:"revision"`
	Queued   int    `json:"queued"`
	Running  int    `json:"running"`
}

// figuresRequested asks the control goroutine to publish the figures as they are now.
type figuresRequested struct{ done chan<- struct{} }

func (e figuresRequested) apply(c *control) {
	c.agent.metrics.figures.Store(c.figures())
	close(e.done)
}

func (c *control) figures() *figures {
	f := &figures{
		at: c.now(), slots: min(c.options.Slots, c.options.Connections), records: c.records.Stats(), homes: len(c.homes),
		services: make(map[string]serviceFigures, len(c.documents)),
	}
	for service, revision := range c.documents {
		f.services[service] = serviceFigures{Revision: revision}
	}
	for _, a := range c.attempts {
		s := f.services[a.start.Service]
		if a.waits() {
			s.Queued++
		} else {
			s.Running++
		}
		f.services[a.start.Service] = s
	}
	return f
}

// refreshMetrics publishes the figures as they are now. When the control goroutine does not answer until ctx ends, the
// former ones stay, and figures_age_ms shows it.
func (a *Agent) refreshMetrics(ctx context.Context) {
	done := make(chan struct{})
	select {
	case a.events <- figuresRequested{done}:
	case <-a.done:
		return
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-a.done:
	case <-ctx.Done():
	}
}

// publishFigures adds the metrics that are read from the published figures.
func (m *metrics) publishFigures(vars *admin.Vars, now func() time.Time) {
	add := func(name string, value func(f *figures) any) {
		vars.Func(name, func() any { return value(m.figures.Load()) })
	}
	add("figures_age_ms", func(f *figures) any {
		if f.at.IsZero() {
			return nil
		}
		return float64(now().Sub(f.at)) / float64(time.Millisecond)
	})
	add("slots", func(f *figures) any { return f.slots })
	add("homes", func(f *figures) any { return f.homes })
	add("services", func(f *figures) any { return f.services })
	add("start_records", func(f *figures) any {
		r := f.records
		return map[string]int{"all": r.Records, "open": r.Open, "refusals": r.Refusals, "result_bytes": r.ResultBytes}
	})
}
