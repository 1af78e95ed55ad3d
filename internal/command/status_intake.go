package command

import (
	"fmt"
	"strconv"
)

// intakeMetrics holds the metrics of the limits for clients that the summary shows.
type intakeMetrics struct {
	HeaderBytes int        `json:"header_bytes"`
	HeaderLimit int        `json:"header_bytes_limit"`
	BodyBytes   int        `json:"body_bytes"`
	BodyLimit   int        `json:"body_bytes_limit"`
	Callers     portMetric `json:"callers"`
	Links       portMetric `json:"links"`
	Operators   portMetric `json:"operators"`
}

// portMetric holds the metrics of one listener.
type portMetric struct {
	Connections map[string]int    `json:"connections"`
	MaxPending  int               `json:"max_pending"`
	MaxOpen     int               `json:"max_open"`
	Refused     map[string]uint64 `json:"refused"`
}

// portRows returns one row for each listener.
func (m *intakeMetrics) portRows() [][]string {
	row := func(name string, p portMetric) []string {
		pending := p.Connections["header"] + p.Connections["idle"] + p.Connections["body"]
		return []string{
			name, strconv.Itoa(p.Connections["open"]), strconv.Itoa(p.MaxOpen), strconv.Itoa(pending), strconv.Itoa(p.MaxPending),
			formatCounts(p.Refused),
		}
	}
	return [][]string{row("callers", m.Callers), row("links", m.Links), row("operators", m.Operators)}
}

// formatUse formats the use of a pool of memory and its size.
func formatUse(used, limit int) string {
	return fmt.Sprintf("%s of %s", formatMiB(used), formatMiB(limit))
}
