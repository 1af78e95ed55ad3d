package dispatch

import "time"

// successPriorWeight is the number of results of a kind at an upstream that weigh as much as the success rate of the
// upstream over all kinds.
const successPriorWeight = 4

// relativeSuccessRate returns the success rate of a kind at an upstream relative to the mean of the upstreams of the
// pool. When all upstreams fail, for example because a shared dependency is down, none rates below the others and work
// goes on.
func (e *engine) relativeSuccessRate(now instant, k *kind, u *upstream) float64 {
	rate := u.blendedSuccessRate(now, k)
	if rate == 1 {
		return 1
	}
	e.refreshPeerStats(now, k)
	return max(min(rate/k.meanSuccess, 1), minSuccessRate)
}

// blendedSuccessRate returns the success rate of a kind, blended with that of all kinds while there are few results.
func (u *upstream) blendedSuccessRate(now instant, k *kind) float64 {
	s := u.statsOf(k)
	if s.success.failureRate == 0 && u.success.failureRate == 0 {
		return 1
	}
	return (s.results*s.success.rate(now) + successPriorWeight*u.success.rate(now)) / (s.results + successPriorWeight)
}

// isUntrusted reports whether an upstream fails tasks that other upstreams complete. Such an upstream gets one task at
// a time. No upstream is untrusted while the last result of most upstreams is a failure.
func (e *engine) isUntrusted(now instant, k *kind, u *upstream) bool {
	if u.success.failureStreak == 0 {
		return false
	}
	e.refreshPeerStats(now, k)
	if !k.mostHealthy {
		return false
	}
	return u.success.failureStreak >= untrustedFailureStreak || e.relativeSuccessRate(now, k, u) < untrustedSuccessRate
}

// peerStatsInterval is the time for which the statistics of a kind over its pool are valid.
const peerStatsInterval = instant(50 * time.Millisecond)

// refreshPeerStats recomputes the statistics of a kind over the upstreams of its pool once they are out of date.
func (e *engine) refreshPeerStats(now instant, k *kind) {
	if k.peerStatsAt > 0 && now-k.peerStatsAt < peerStatsInterval {
		return
	}
	k.peerStatsAt = max(now, 1)
	k.meanSuccess, k.mostHealthy = 1, true
	if n := len(k.pool.upstreams); n > 0 {
		sum, healthy := 0.0, 0
		for _, u := range k.pool.upstreams {
			sum += u.blendedSuccessRate(now, k)
			if u.success.failureStreak == 0 {
				healthy++
			}
		}
		k.meanSuccess = max(sum/float64(n), minSuccessRate)
		k.mostHealthy = 2*healthy >= n
	}
	k.typicalService = e.typicalServiceTime(now, k)
}

// typicalServiceTime returns the expected service time averaged over the slots of the pool, without the upstreams that
// are ejected or untrusted.
func (e *engine) typicalServiceTime(now instant, k *kind) instant {
	rate, slots := 0.0, 0.0
	for _, u := range k.pool.upstreams {
		if u.ejection.ejected || e.isUntrusted(now, k, u) {
			continue
		}
		rate += float64(u.Slots) / float64(e.expectedService(k, u))
		slots += float64(u.Slots)
	}
	if rate == 0 {
		return k.mean
	}
	return instant(slots / rate)
}
