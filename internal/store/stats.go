package store

import "expvar"

// callKind names a kind of call in the metrics.
type callKind string

const (
	kindGet          callKind = "get"
	kindList         callKind = "list"
	kindWatch        callKind = "watch"
	kindSwap         callKind = "compare_and_swap"
	kindLeaseCreate  callKind = "lease_create"
	kindLeaseBind    callKind = "lease_bind"
	kindLeaseRenew   callKind = "lease_renew"
	kindLeaseRelease callKind = "lease_release"
)

// stats counts calls by kind, and those among them that got an error instead of an answer. A conflict is an answer.
type stats struct {
	vars          *expvar.Map
	calls, failed *expvar.Map
}

func newStats() *stats {
	s := &stats{vars: new(expvar.Map), calls: new(expvar.Map), failed: new(expvar.Map)}
	s.vars.Set("calls", s.calls)
	s.vars.Set("failed", s.failed)
	return s
}

func (s *stats) count(kind callKind, err error) {
	s.calls.Add(string(kind), 1)
	if err != nil {
		s.failed.Add(string(kind), 1)
	}
}
