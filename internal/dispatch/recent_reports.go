package dispatch

// recentReportCount is the number of reports that a pool keeps.
const recentReportCount = 64

// recentReports is a ring buffer of the upstreams that reported their load last. In a large pool, most load reports are
// older than the typical service time, so an upstream that has just reported a free slot is the only one known to have
// it.
type recentReports struct {
	ring      [recentReportCount]*upstream
	nextIndex int // index of the next report in ring
}

func (r *recentReports) add(u *upstream) {
	r.ring[r.nextIndex] = u
	r.nextIndex = (r.nextIndex + 1) % recentReportCount
}

// remove deletes an upstream that left the pool.
func (r *recentReports) remove(u *upstream) {
	for i := range r.ring {
		if r.ring[i] == u {
			r.ring[i] = nil
		}
	}
}

// appendWithFreeSlot appends up to n upstreams that are expected to have a free slot, the latest report first.
func (r *recentReports) appendWithFreeSlot(sample []*upstream, n int) []*upstream {
	for i := 1; i <= recentReportCount && n > 0; i++ {
		if u := r.ring[(r.nextIndex+recentReportCount-i)%recentReportCount]; u != nil && u.hasFreeSlot {
			sample = append(sample, u)
			n--
		}
	}
	return sample
}
