package e2e_test

import (
	"context"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/api"
)

// servedAgainWithin is the bound for the time from the kill of an entry until its keys are served again, with the default
// times and a store that is up.
const servedAgainWithin = 8 * time.Second

// Guards against keys of a killed entry that stay without a home until its lease ended, although the kernel of its host
// refuses connections at its address. The victims take turns: the first entry dials its peers, the last one is dialled.
// E2E_KILLS sets the number of kills.
func TestKeysOfAKilledEntryAreServedAgainSoon(t *testing.T) {
	t.Parallel()
	kills, err := strconv.Atoi(os.Getenv("E2E_KILLS"))
	if err != nil {
		kills = 3
	}
	c := newCluster(t, options{defaultTimes: true, agents: 2})
	for i := range kills {
		const lease = 5 * time.Second // the kills are at any phase of a renewal
		time.Sleep(rand.N(lease))
		victim := c.entries[i%len(c.entries)]
		first, all := c.killAndResubmit(victim)
		t.Logf("%s killed: first key served after %.2f s, all after %.2f s", victim.id, first.Seconds(), all.Seconds())
		gomega.NewWithT(t).Expect(all).To(gomega.BeNumerically("<", servedAgainWithin))
		c.startEntry(victim)
		c.waitSettled(30 * time.Second)
	}
}

// killAndResubmit kills an entry and submits keys of it, complete and new ones, until they are complete. It returns when the
// first and the last of them were.
func (c *cluster) killAndResubmit(victim *entry) (first, all time.Duration) {
	c.t.Helper()
	g := gomega.NewWithT(c.t)
	var jobs []job
	for range 4 {
		j := c.jobWithHome(victim, newJob("charge", 500*time.Millisecond, 20, 20))
		r, err := submit(context.Background(), c.others(victim)[0], j)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(r.Outcome).To(gomega.Equal(api.OutcomeComplete), "%+v", r.Answer)
		jobs = append(jobs, j, c.jobWithHome(victim, newJob("charge", 500*time.Millisecond, 20, 20)))
	}
	victim.kill()
	killed := time.Now()
	for i, j := range jobs {
		const limit = 90 * time.Second
		r := c.untilFinal(c.others(victim)[i%2], j, limit)
		g.Expect(r.Outcome).To(gomega.Equal(api.OutcomeComplete), "%+v", r.Answer)
		if i == 0 {
			first = time.Since(killed)
		}
	}
	all = time.Since(killed)
	for _, j := range jobs {
		g.Expect(c.startsOf(j.key, 2)).To(gomega.Equal(2))
	}
	return first, all
}
