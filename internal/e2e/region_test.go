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

// regionalJob returns a quick job. A random half of the jobs belongs to the service with a home region.
func regionalJob(r *rand.Rand) job {
	j := quickJob(r)
	if r.IntN(2) == 0 {
		j.service = homeRegionService
	}
	return j
}

// putHomeDocument writes the document of homeRegionService and waits until it is in effect at every entry.
func (c *cluster) putHomeDocument() {
	c.t.Helper()
	c.putDocument(strings.Replace(benchDocument, "service: "+defaultService, "home_region: east\nservice: "+homeRegionService, 1),
		0)
	c.eventually(5*time.Second, "the document is in effect", func() error {
		for _, e := range c.entries {
			if s, err := c.stateOf(e); err != nil || s.Services[homeRegionService].Revision == 0 {
				return fmt.Errorf("%s: %v", e.id, err)
			}
		}
		return nil
	})
}

// forEachCrossRegionPair calls f for each entry with the id of each entry and agent of the other region.
func (c *cluster) forEachCrossRegionPair(f func(e *entry, id string)) {
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

// jobWithHomeRegion gives the job a new key whose home, according to the list, is in the region.
func jobWithHomeRegion(list wire.EntryList, region string, j job) job {
	for {
		home, _ := placement.Home(&list, "", placement.HashKey(j.serviceName(), j.key))
		if home.Region == region {
			return j
		}
		j.key = newJob(j.kind, 0).key
	}
}

// Guards against a key that runs in both of two regions that are cut off from each other, against a service that stops being
// served in its home region, and against keys that are not served again after the regions reconnect. Either both regions
// reach the store, or only the region east does, which then removes the entries of the other one.
func TestRegionsApart(t *testing.T) {
	t.Parallel()
	for name, bothReachTheStore := range map[string]bool{"store reached by both": true, "store reached by one": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			c := newCluster(t, options{withRelays: true, regions: []string{"east", "west", "east", "west"}})
			c.putHomeDocument()
			east, west := c.entries[0], c.entries[1]
			initial, err := c.stateOf(east)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			load := c.startLoad(6, &load{duplicateShare: 0.7, nextJob: regionalJob, resubmitTimeout: 4 * time.Second})
			time.Sleep(500 * time.Millisecond)

			c.forEachCrossRegionPair(func(e *entry, id string) { e.linkRelay.refuse(id) })
			if !bothReachTheStore {
				for _, e := range c.entries {
					if e.region == "west" {
						e.storeRelay.refuse("")
					}
				}
			}
			time.Sleep(leaseTTL + 4*expulsionDelay)
			s, err := c.stateOf(east)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			removed := slices.ContainsFunc(s.List.Departed, func(d wire.Departed) bool { return !d.Clean })
			g.Expect(removed).To(gomega.Equal(!bothReachTheStore))

			var openJobs []job
			for range 3 {
				j := newJob("charge", 1200*time.Millisecond, 20, 20)
				j.service = homeRegionService
				load.expectOutcome(east, j, api.OutcomeComplete)
				j = newJob("charge", 1200*time.Millisecond, 20, 20)
				j.service = homeRegionService
				load.expectOutcome(west, j, api.OutcomeUnknown)
				openJobs = append(openJobs, j)
				load.expectOutcome(east, jobWithHomeRegion(initial.List, "east", newJob("charge", 1200*time.Millisecond, 20, 20)),
					api.OutcomeComplete)
				j = jobWithHomeRegion(initial.List, "west", newJob("charge", 1200*time.Millisecond, 20, 20))
				load.expectOutcome(east, j, api.OutcomeUnknown)
				openJobs = append(openJobs, j)
				j = jobWithHomeRegion(initial.List, "west", newJob("charge", 1200*time.Millisecond, 20, 20))
				load.expectOutcome(west, j, api.OutcomeComplete)
				load.expectOutcome(east, j, api.OutcomeUnknown) // the key ran in the other region
				openJobs = append(openJobs, j)
			}

			c.forEachCrossRegionPair(func(e *entry, id string) { e.linkRelay.allow(id) })
			for _, e := range c.entries {
				e.storeRelay.allow("")
			}
			c.waitConverged(20 * time.Second)
			for i, j := range openJobs {
				r := c.submitUntilFinal(c.entries[i%len(c.entries)], j, 10*time.Second)
				load.record(j, r, nil)
				g.Expect(r.Outcome).To(gomega.Equal(api.OutcomeComplete), "%+v", r.Answer)
			}
			load.verify()
		})
	}
}

// expectOutcome submits the job at an entry and fails the test if it has another outcome.
func (l *load) expectOutcome(e *entry, j job, outcome api.Outcome) {
	l.cluster.t.Helper()
	r, err := submit(context.Background(), e, j)
	if err != nil {
		l.cluster.t.Fatal(err)
	}
	l.record(j, r, nil)
	if r.Outcome != outcome {
		l.cluster.t.Errorf("%s, service %s: %s (%s, %s) instead of %s", e.id, j.serviceName(), r.Outcome, r.reason, r.Message, outcome)
	}
}
