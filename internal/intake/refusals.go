package intake

import (
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
)

// refusal is a kind of refusal or of early end of a connection.
type refusal int

const (
	headerTooLarge refusal = iota
	headerNoRoom
	headerTooSlow
	bodyTooLarge
	bodyNoRoom
	bodyTooSlow
	decodedNoRoom
	idleTooLong
	evictedForOthers
	acceptPaused
	refusals
)

// names are the names of the refusals in metrics and logs.
var names = [refusals]string{
	"header_too_large", "header_no_room", "header_too_slow", "body_too_large", "body_no_room", "body_too_slow", "decoded_no_room",
	"idle_too_long", "evicted", "accept_paused",
}

// logInterval is the interval of the log lines for one kind of refusal.
const logInterval = 10 * time.Second

// refusalCounters counts refusals by kind and logs them, at most one line for each kind in logInterval.
type refusalCounters struct {
	counts [refusals]atomic.Int64

	mu         sync.Mutex
	logged     [refusals]int64
	lastLogged [refusals]time.Time
}

func (r *refusalCounters) add(kind refusal) { r.counts[kind].Add(1) }

// report logs the kinds that have occurred since they were last logged.
func (r *refusalCounters) report(now time.Time, port string, logger log.Interface) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for kind := range refusals {
		count := r.counts[kind].Load()
		if kind == idleTooLong || count == r.logged[kind] || now.Sub(r.lastLogged[kind]) < logInterval {
			continue // an idle connection that is closed is nothing unusual
		}
		logger.WithFields(log.Fields{"port": port, "kind": names[kind], "count": count - r.logged[kind]}).
			Warn("intake: requests or connections were refused")
		r.logged[kind], r.lastLogged[kind] = count, now
	}
}

// vars returns the counters by name.
func (r *refusalCounters) vars() *expvar.Map {
	vars := new(expvar.Map).Init()
	for kind := range refusals {
		vars.Set(names[kind], expvar.Func(func() any { return r.counts[kind].Load() }))
	}
	return vars
}
