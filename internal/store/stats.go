package store

import "expvar"

// callKind is the label of a call in the metrics.
type callKind string

const (
	kindGet            callKind = "get"
	kindList           callKind = "list"
	kindWatch          callKind = "watch"
	kindCompareAndSwap callKind = "compare_and_swap"
	kindLeaseCreate    callKind = "lease_create"
	kindLeaseBind      callKind = "lease_bind"
	kindLeaseRenew     callKind = "lease_renew"
	kindLeaseRelease   callKind = "lease_release"
)

// stats counts all calls and the failed ones by kind. A conflict is a valid answer of the store, not a failed call.
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
