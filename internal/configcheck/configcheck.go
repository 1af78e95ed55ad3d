// Package configcheck finds faults in an operator's configuration that the parser accepts, and differences between two versions.
// It has no I/O.
package configcheck

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/catalog"
)

// Finding is a fault of a configuration.
type Finding struct {
	// Where is the queue or service, with its position in the file counted from 0, such as `route 3 "checkout"`.
	Where string `json:"where"`
	// Reason says what is wrong and what it does.
	Reason string `json:"reason"`
}

// maxWorkerSpeed is the highest speed of a worker, relative to the estimates of run times, that deployments have.
const maxWorkerSpeed = 1.2

// Check returns the faults of a configuration, in the order of its queues and then of its services. attempts has the numbers of
// attempts that the file states for the queues, before the parser raises them to 1.
func Check(c *catalog.Catalog, attempts []int) []Finding {
	var findings []Finding
	served := make(map[string]bool)
	for _, s := range c.Services {
		served[s.Name] = true
	}
	used := make(map[string]bool)
	for i := range c.Queues {
		q := &c.Queues[i]
		used[q.Service] = true
		reasons := limitReasons(q)
		if !served[q.Service] {
			reasons = append(reasons, fmt.Sprintf("the service %q is not in Services, so its jobs wait for workers that may not exist", q.Service))
		}
		if i < len(attempts) && attempts[i] < 1 {
			reasons = append(reasons, fmt.Sprintf("MaxAttempts is %d and counts as 1", attempts[i]))
		}
		if reason := unmatchedReason(c, i); reason != "" {
			reasons = append(reasons, reason)
		}
		for _, reason := range reasons {
			findings = append(findings, Finding{routeName(c, i), reason})
		}
	}
	for i, s := range c.Services {
		if !used[s.Name] {
			findings = append(findings, Finding{fmt.Sprintf("service %d %q", i, s.Name), "no route names it"})
		}
	}
	return findings
}

func routeName(c *catalog.Catalog, i int) string {
	return fmt.Sprintf("route %d %q", i, c.Queues[i].Name)
}

// limitReasons returns how the limits of a queue contradict each other.
func limitReasons(q *catalog.Queue) []string {
	var reasons []string
	objective := func(estimate time.Duration) time.Duration {
		return time.Duration(q.ObjectiveFactor*float64(estimate)) + q.ObjectiveExtra
	}
	if q.Timeout < 0 || q.ObjectiveFactor < 0 || q.ObjectiveExtra < 0 {
		reasons = append(reasons, "a time or a factor is negative")
	}
	if q.Timeout > 0 && q.Timeout < objective(0) {
		reasons = append(reasons, fmt.Sprintf("TimeoutMs (%s) is below TargetLatencyMs (%s), so no job is answered as late as its objective allows", q.Timeout, q.ObjectiveExtra))
	}
	if q.ObjectiveFactor < 1/maxWorkerSpeed {
		longest := time.Duration(float64(q.ObjectiveExtra) / (1/maxWorkerSpeed - q.ObjectiveFactor))
		reasons = append(reasons, fmt.Sprintf(
			"TargetFactor %g: a job of more than %s misses its objective on the fastest worker (speed %g)", q.ObjectiveFactor, longest.Round(time.Millisecond), maxWorkerSpeed))
	}
	return reasons
}

// otherHost is a host that no configuration names.
const otherHost = "host.invalid"

// unmatchedReason returns why no request can match a queue, or an empty string. It asks the matcher of the product for the request
// whose path is the prefix of the queue: whatever takes that one takes every longer one, or a queue with a longer prefix does.
func unmatchedReason(c *catalog.Catalog, i int) string {
	q := &c.Queues[i]
	host, path := q.Host, q.Prefix
	if host == "" {
		host = otherHost
	}
	if path == "" {
		path = "/"
	}
	switch {
	case !strings.HasPrefix(path, "/"):
		return fmt.Sprintf("the prefix %q does not begin with a slash, so no path matches it", q.Prefix)
	case strings.Contains(q.Host, ":"):
		return fmt.Sprintf("the host %q has a port, and requests are matched without theirs", q.Host)
	}
	matched := c.MatchQueue(host, path)
	if matched == q || matched == nil {
		return ""
	}
	other := slices.IndexFunc(c.Queues, func(o catalog.Queue) bool { return o.Host == matched.Host && o.Prefix == matched.Prefix })
	return fmt.Sprintf("it never matches: %s takes all requests of host %q and prefix %q", routeName(c, other), q.Host, q.Prefix)
}

// Change is a difference between two configurations.
type Change struct {
	// Kind is added, removed or changed.
	Kind  string `json:"kind"`
	Where string `json:"where"`
	// Detail lists the changed fields; empty unless Kind is changed.
	Detail string `json:"detail,omitempty"`
}

// FieldNames maps the names of fields of the catalog to their names in the operator's file. A field without an entry has the same
// name in both.
type FieldNames map[string]string

// Compare returns what differs from an earlier configuration, by the names of queues and services.
func Compare(before, after *catalog.Catalog, names FieldNames) []Change {
	changes := compareByName("route", before.Queues, after.Queues, func(q catalog.Queue) string { return q.Name }, queueFields, names)
	return append(changes, compareByName("service", before.Services, after.Services, func(s catalog.Service) string { return s.Name },
		func(s catalog.Service) []field { return []field{{"Guarded", s.Guarded}} }, names)...)
}

// field is a field of a queue or service under its name in the catalog. Durations are in milliseconds.
type field struct {
	name  string
	value any
}

func queueFields(q catalog.Queue) []field {
	return []field{
		{"Host", q.Host},
		{"Prefix", q.Prefix},
		{"Service", q.Service},
		{"Priority", q.Priority},
		{"MaxAttempts", q.MaxAttempts},
		{"Timeout", q.Timeout.Milliseconds()},
		{"ObjectiveFactor", q.ObjectiveFactor},
		{"ObjectiveExtra", q.ObjectiveExtra.Milliseconds()},
	}
}

// compareByName compares two lists. Of several elements with one name, the first of each list is compared.
func compareByName[T any](what string, before, after []T, name func(T) string, fields func(T) []field, fieldNames FieldNames) []Change {
	index := func(list []T) (map[string]T, []string) {
		byName, names := make(map[string]T, len(list)), make([]string, 0, len(list))
		for _, e := range list {
			if _, known := byName[name(e)]; !known {
				byName[name(e)], names = e, append(names, name(e))
			}
		}
		return byName, names
	}
	old, oldNames := index(before)
	current, names := index(after)
	var changes []Change
	for _, n := range oldNames {
		if _, kept := current[n]; !kept {
			changes = append(changes, Change{Kind: "removed", Where: fmt.Sprintf("%s %q", what, n)})
		}
	}
	for _, n := range names {
		was, known := old[n]
		if !known {
			changes = append(changes, Change{Kind: "added", Where: fmt.Sprintf("%s %q", what, n)})
			continue
		}
		var details []string
		earlier := fields(was)
		for i, f := range fields(current[n]) {
			if earlier[i].value != f.value {
				name := f.name
				if inFile, ok := fieldNames[name]; ok {
					name = inFile
				}
				details = append(details, fmt.Sprintf("%s %v, was %v", name, f.value, earlier[i].value))
			}
		}
		if len(details) > 0 {
			changes = append(changes, Change{Kind: "changed", Where: fmt.Sprintf("%s %q", what, n), Detail: strings.Join(details, "; ")})
		}
	}
	return changes
}
