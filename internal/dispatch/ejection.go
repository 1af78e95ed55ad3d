package dispatch

// Parameters of ejection.
const (
	// minEjectionResults is the number of results of an upstream before it can be ejected.
	minEjectionResults = 5
	// maxRestDoublings bounds the growth of the time between probes.
	maxRestDoublings = 4
)

// ejection is the state of the ejection guard for one upstream.
type ejection struct {
	ejected  bool
	results  int
	failures int     // failed probes in a row
	next     instant // time of the next probe
}

// reviewEjection ejects or readmits an upstream after a result.
func (e *engine) reviewEjection(now instant, u *upstream, ok bool) {
	g := e.config.Ejection
	x := &u.ejection
	x.results = min(x.results+1, minEjectionResults)
	switch {
	case g == nil:
	case x.ejected && ok:
		e.readmit(u)
	case x.ejected:
		x.failures++
		x.next = now + instant(g.Rest)<<min(x.failures, maxRestDoublings)
	case !ok && x.results >= minEjectionResults && e.standsOut(now, u, g) && e.mayEject(g):
		x.ejected, x.failures = true, 0
		x.next = now + instant(g.Rest)
		e.counters.Ejections++
	}
}

// standsOut tells whether the error rate of the upstream is above that of its peers by the configured excess.
func (e *engine) standsOut(now instant, u *upstream, g *Ejection) bool {
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
	return 1-u.success.rate(now) > sum/float64(n)+g.ErrorRate
}

// mayEject tells whether one more ejection stays within the share.
func (e *engine) mayEject(g *Ejection) bool {
	ejected := 0
	for _, u := range e.active {
		if u.ejection.ejected {
			ejected++
		}
	}
	return float64(ejected+1) <= g.MaxShare*float64(len(e.active))
}

// readmit trusts the upstream again after a successful probe.
func (e *engine) readmit(u *upstream) {
	u.ejection = ejection{}
	u.success = success{}
	for i := range u.stats {
		u.stats[i].success = success{}
	}
}

// barred tells whether an ejected upstream gets no task now. A probe is one real task at a time.
func (u *upstream) barred(now instant) bool {
	return u.ejection.ejected && (now < u.ejection.next || u.own() > 0)
}

// probing tells whether the upstream is ejected and waits for a probe.
func (u *upstream) probing(now instant) bool { return u.ejection.ejected && !u.barred(now) }
