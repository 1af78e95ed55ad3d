package agent

import (
	"expvar"
	"strconv"

	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// metrics are the counters of one agent.
type metrics struct {
	starts, running, queued expvar.Int
	refusals, results       expvar.Map
	stats                   *link.Stats
}

func newMetrics(stats *link.Stats) *metrics { return &metrics{stats: stats} }

func (m *metrics) countRefusal(reason wire.RefusalReason) {
	m.refusals.Add(strconv.Itoa(int(reason)), 1)
}

func (m *metrics) countResult(state wire.AttemptState) {
	m.results.Add(strconv.Itoa(int(state)), 1)
}

func (m *metrics) observe(c *control) {
	load := c.load()
	m.running.Set(int64(load.Running))
	m.queued.Set(int64(load.Queued))
}
