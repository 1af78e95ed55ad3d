package dispatch

// recentReports is the number of upstreams that a pool remembers by their last report.
const recentReports = 64

// recent holds the upstreams whose loads were reported last. In a large pool the other figures are older than the usual
// task, so an upstream that has just reported a free slot is the only one known to have it.
type recent struct {
	ring [recentReports]*upstream
	next int // place of the next report
}

func (r *recent) add(u *upstream) {
	r.ring[r.next] = u
	r.next = (r.next + 1) % recentReports
}

// remove forgets an upstream that left the pool.
func (r *recent) remove(u *upstream) {
	for i := range r.ring {
		if r.ring[i] == u {
			r.ring[i] = nil
		}
	}
}

// idle appends up to n upstreams that are expected to have a free slot, the latest report first.
func (r *recent) idle(sample []*upstream, n int) []*upstream {
	for i := 1; i <= recentReports && n > 0; i++ {
		if u := r.ring[(r.next+recentReports-i)%recentReports]; u != nil && u.idle {
			sample = append(sample, u)
			n--
		}
	}
	return sample
}
