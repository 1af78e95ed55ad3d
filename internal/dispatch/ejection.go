package dispatch

// Parameters of outlier ejection.
const (
	// minEjectionResults is the number of results of an upstream before it can be ejected.
	minEjectionResults = 5
	// maxProbeDoublings is the number of times that the interval between probes doubles.
	maxProbeDoublings = 4
)

// ejection is the ejection state of one upstream.
type ejection struct {
	ejected      bool
	results      int     // results seen, up to minEjectionResults
	failedProbes int     // consecutive failed probes
	nextProbe    instant // earliest time of the next probe
}

// updateEjection ejects or readmits an upstream after a result.
func (e *engine) updateEjection(now instant, u *upstream, ok bool) {
	config := e.config.Ejection
	state := &u.ejection
	state.results = min(state.results+1, minEjectionResults)
	switch {
	case config == nil:
	case state.ejected && ok:
		e.readmit(u)
	case state.ejected:
		state.failedProbes++
		state.nextProbe = now + instant(config.ProbeAfter)<<min(state.failedProbes, maxProbeDoublings)
	case !ok && state.results >= minEjectionResults && e.isOutlier(now, u, config) && e.withinEjectionShare(config):
		state.ejected, state.failedProbes = true, 0
		state.nextProbe = now + instant(config.ProbeAfter)
		e.counters.Ejections++
	}
}

// isOutlier reports whether the error rate of the upstream exceeds the mean of the other upstreams by the configured
// margin.
func (e *engine) isOutlier(now instant, u *upstream, config *Ejection) bool {
	sum, n := 0.0, 0
	for _, other := range e.active {
		if other != u {
			sum += 1 - other.success.rate(now)
			n++
		}
	}
	if n == 0 {
		return false
	}
	return 1-u.success.rate(now) > sum/float64(n)+config.ErrorRate
}

// withinEjectionShare reports whether one more ejection keeps the share of ejected upstreams within the limit.
func (e *engine) withinEjectionShare(config *Ejection) bool {
	ejected := 0
	for _, u := range e.active {
		if u.ejection.ejected {
			ejected++
		}
	}
	return float64(ejected+1) <= config.MaxShare*float64(len(e.active))
}

// readmit ends the ejection of an upstream after a successful probe and forgets its failures.
func (e *engine) readmit(u *upstream) {
	u.ejection = ejection{}
	u.success = successRate{}
	for i := range u.stats {
		u.stats[i].success = successRate{}
	}
}

// excluded reports whether an ejected upstream gets no task now. Probes are ordinary tasks, one at a time.
func (u *upstream) excluded(now instant) bool {
	return u.ejection.ejected && (now < u.ejection.nextProbe || u.ownAttempts() > 0)
}

// awaitsProbe reports whether the upstream is ejected and its next task is a probe that is due.
func (u *upstream) awaitsProbe(now instant) bool { return u.ejection.ejected && !u.excluded(now) }
