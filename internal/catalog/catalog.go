// Package catalog defines the configuration of a deployment, which the operator publishes as one versioned value: the
// queues, the services, and how the jobs of each queue are served.
//
// A catalog is encoded under the names of its Go fields, so these names are part of the encoding.
package catalog

import (
	"strings"
	"time"
)

// Queue describes how the jobs are served that callers submit under one host and path prefix.
type Queue struct {
	Name    string
	Host    string // host of the caller's request, without port; empty matches every host
	Prefix  string
	Service string // the service whose workers run the tasks
	// Priority orders the queues of a service; the lowest number is served first.
	Priority int
	// MaxAttempts is the number of failed runs of one task after which the job fails; values below 1 mean 1.
	MaxAttempts int
	// Timeout is the longest time until a job is answered; 0 means that only the caller's deadline applies.
	Timeout time.Duration
	// ObjectiveFactor times the estimated run time of the longest chain of tasks, plus ObjectiveExtra, is the time within
	// which a job should be done.
	ObjectiveFactor float64
	ObjectiveExtra  time.Duration
}

// Service describes the workers of a service.
type Service struct {
	Name string
	// Guarded is true when the workers refuse tasks beyond their capacity themselves.
	Guarded bool
}

// Catalog is one version of the configuration. It is immutable once published.
type Catalog struct {
	Version  uint64
	Queues   []Queue
	Services []Service

	index *queueIndex
}

// BuildIndex builds the index that MatchQueue uses. It must be called after the last change of Queues and before the catalog
// is published. Building takes time in proportion to the size of the catalog.
func (c *Catalog) BuildIndex() { c.index = newQueueIndex(c.Queues) }

// MatchQueue returns the queue of a request: among the queues that match its host and path, the one with the longest prefix,
// and the first of several with the same prefix. It returns nil if no queue matches. With an index the cost depends on the
// length of the path, not on the number of queues.
func (c *Catalog) MatchQueue(host, path string) *Queue {
	if c == nil {
		return nil
	}
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	if c.index == nil {
		return c.searchQueue(host, path)
	}
	if i := c.index.match(host, path); i != noQueue {
		return &c.Queues[i]
	}
	return nil
}

// searchQueue does what MatchQueue does by comparing all queues.
func (c *Catalog) searchQueue(host, path string) *Queue {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host != "" && !strings.EqualFold(q.Host, host) || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if best == nil || len(q.Prefix) > len(best.Prefix) {
			best = q
		}
	}
	return best
}

// Newer reports whether c has a higher version than old and so replaces it. A process never replaces its catalog by an older
// one.
func (c *Catalog) Newer(old *Catalog) bool {
	return c != nil && (old == nil || c.Version > old.Version)
}

// VersionOf returns the version of a catalog, or 0 if c is nil.
func VersionOf(c *Catalog) uint64 {
	if c == nil {
		return 0
	}
	return c.Version
}
