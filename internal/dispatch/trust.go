package dispatch

import "time"

// successConfidence is the number of results of a kind at an upstream that weigh as much as its rate for all kinds.
const successConfidence = 4

// successOf returns the success rate of a kind at an upstream relative to the mean of the upstreams. When all of them
// fail, as when something behind them is down, none is worse than the others and work goes on.
func (e *engine) successOf(now instant, k *kind, u *upstream) float64 {
	rate := u.successOf(now, k)
	if rate == 1 {
		return 1
	}
	e.review(now, k)
	return max(min(rate/k.peerRate, 1), minSuccess)
}

// successOf returns the success rate of a kind, blended with that of all kinds while there are few results.
func (u *upstream) successOf(now instant, k *kind) float64 {
	s := u.statsOf(k)
	if s.success.failure == 0 && u.success.failure == 0 {
		return 1
	}
	return (s.results*s.success.rate(now) + successConfidence*u.success.rate(now)) / (s.results + successConfidence)
}

// untrusted tells whether an upstream fails tasks that others complete. It gets one task at a time. No upstream is
// untrusted while the last result of most of them is a failure.
func (e *engine) untrusted(now instant, k *kind, u *upstream) bool {
	if u.success.streak == 0 {
		return false
	}
	e.review(now, k)
	if !k.mostHealthy {
		return false
	}
	return u.success.streak >= untrustedStreak || e.successOf(now, k, u) < untrustedSuccess
}

// reviewInterval is the time for which the figures of a kind over its pool are valid.
const reviewInterval = instant(50 * time.Millisecond)

// review computes the figures of a kind over the slots of its pool.
func (e *engine) review(now instant, k *kind) {
	if k.reviewed > 0 && now-k.reviewed < reviewInterval {
		return
	}
	k.reviewed = max(now, 1)
	k.peerRate, k.mostHealthy = 1, true
	if n := len(k.pool.ups); n > 0 {
		sum, healthy := 0.0, 0
		for _, u := range k.pool.ups {
			sum += u.successOf(now, k)
			if u.success.streak == 0 {
				healthy++
			}
		}
		k.peerRate = max(sum/float64(n), minSuccess)
		k.mostHealthy = 2*healthy >= n
	}
	k.usual = e.usualTime(now, k)
}

// usualTime returns the expected time over the slots of the pool, without upstreams that are not trusted.
func (e *engine) usualTime(now instant, k *kind) instant {
	rate, slots := 0.0, 0.0
	for _, u := range k.pool.ups {
		if u.ejection.ejected || e.untrusted(now, k, u) {
			continue
		}
		rate += float64(u.Slots) / float64(e.service(k, u))
		slots += float64(u.Slots)
	}
	if rate == 0 {
		return k.mean
	}
	return instant(slots / rate)
}
