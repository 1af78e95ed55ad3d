package e2e_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/api"
	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// regionalJob is a quick job of the service with a home region or of the one without.
func regionalJob(r *rand.Rand) job {
	j := quickJob(r)
	if r.IntN(2) == 0 {
		j.service = homeService
	}
	return j
}

// putHomeDocument writes the document of the service with a home region and waits until every entry has it.
func (c *cluster) putHomeDocument() {
	c.t.Helper()
	c.putDocument(strings.Replace(benchDocument, "service: "+service, "home_region: east\nservice: "+homeService, 1), 0)
	c.eventually(5*time.Second, "the document is in force", func() error {
		for _, e := range c.entries {
			if s, err := c.stateOf(e); err != nil || s.Services[homeService].Revision == 0 {
				return fmt.Errorf("%s: %v", e.id, err)
			}
		}
		return nil
	})
}

// parted calls f for each entry with each entry and agent of the other region.
func (c *cluster) parted(f func(e *entry, id string)) {
	for _, e := range c.entries {
		for _, other := range c.entries {
			if other.region != e.region {
				f(e, other.id)
			}
		}
		for _, a := range c.agents {
			if a.region != e.region {
				f(e, a.id)
			}
		}
	}
}

// jobAt gives the job a fresh key whose home is in the region under the list.
func jobAt(list wire.EntryList, region string, j job) job {
	for {
		home, _ := placement.Home(&list, "", placement.HashKey(j.serviceName(), j.key))
		if home.Region == region {
			return j
		}
		j.key = newJob(j.kind, 0).key
	}
}

// Guards against a key that runs in both of two regions that lost contact, against a service with a home region that does
// not go on there, and against keys that are not served again afterwards. The store is reached by both regions or by the
// region east alone, which then removes the entries of the other one.
func TestRegionsApart(t *testing.T) {
	t.Parallel()
	for name, bothReachTheStore := range map[string]bool{"store reached by both": true, "store reached by one": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			c := newCluster(t, options{relays: true, regions: []string{"east", "west", "east", "west"}})
			c.putHomeDocument()
			east, west := c.entries[0], c.entries[1]
			whole, err := c.stateOf(east)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			load := c.startLoad(6, &load{doubled: 0.7, jobs: regionalJob, patience: 4 * time.Second})
			time.Sleep(500 * time.Millisecond)

			c.parted(func(e *entry, id string) { e.relay.refuse(id) })
			if !bothReachTheStore {
				for _, e := range c.entries {
					if e.region == "west" {
						e.store.refuse("")
					}
				}
			}
			time.Sleep(leaseTTL + 4*expulsionDelay)
			s, err := c.stateOf(east)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			removed := slices.ContainsFunc(s.List.Departed, func(d wire.Departed) bool { return !d.Clean })
			g.Expect(removed).To(gomega.Equal(!bothReachTheStore))

			var open []job
			for range 3 {
				j := newJob("charge", 1200*time.Millisecond, 20, 20)
				j.service = homeService
				load.expect(east, j, api.OutcomeComplete)
				j = newJob("charge", 1200*time.Millisecond, 20, 20)
				j.service = homeService
				load.expect(west, j, api.OutcomeUnknown)
				open = append(open, j)
				load.expect(east, jobAt(whole.List, "east", newJob("charge", 1200*time.Millisecond, 20, 20)), api.OutcomeComplete)
				j = jobAt(whole.List, "west", newJob("charge", 1200*time.Millisecond, 20, 20))
				load.expect(east, j, api.OutcomeUnknown)
				open = append(open, j)
				j = jobAt(whole.List, "west", newJob("charge", 1200*time.Millisecond, 20, 20))
				load.expect(west, j, api.OutcomeComplete)
				load.expect(east, j, api.OutcomeUnknown) // it ran in the other region
				open = append(open, j)
			}

			c.parted(func(e *entry, id string) { e.relay.allow(id) })
			for _, e := range c.entries {
				e.store.allow("")
			}
			c.waitSettled(20 * time.Second)
			for i, j := range open {
				r := c.untilFinal(c.entries[i%len(c.entries)], j, 10*time.Second)
				load.note(j, r, nil)
				g.Expect(r.Outcome).To(gomega.Equal(api.OutcomeComplete), "%+v", r.Answer)
			}
			load.verify()
		})
	}
}

// expect submits the job at an entry and fails the test unless it has the outcome.
func (l *load) expect(e *entry, j job, outcome api.Outcome) {
	l.cluster.t.Helper()
	r, err := submit(context.Background(), e, j)
	if err != nil {
		l.cluster.t.Fatal(err)
	}
	l.note(j, r, nil)
	if r.Outcome != outcome {
		l.cluster.t.Errorf("%s, service %s: %s (%s, %s) instead of %s", e.id, j.serviceName(), r.Outcome, r.reason, r.Message, outcome)
	}
}
