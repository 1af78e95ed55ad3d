package catalogsync_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/coltsfootspur/coltsfootspur/internal/catalogsync"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// maxHeartbeatDelay is what a change may add to the time between two heartbeats. A link counts as lost after 400 ms without
// contact, with heartbeats every 80 ms and pauses of 100 ms at either end.
const maxHeartbeatDelay = 100 * time.Millisecond

// Guards against the fault of a day of B: entries sent a new configuration of 270 KB to each agent, which delayed heartbeats
// for longer than the 400 ms after which a link is lost, and an entry served the previous version for more than 4 s. The first
// case replays the former distribution and shows that the replay reproduces the fault.
func TestConfigurationDoesNotDelayHeartbeats(t *testing.T) {
	t.Run("former distribution", func(t *testing.T) {
		r := newReplay(9, 54, 25)
		r.wholeValues = true
		r.runFor(time.Second)
		r.publish(1, make([]byte, 270_000), storedBytes(1400))
		r.runFor(8 * time.Second)
		t.Logf("heartbeats were up to %v late", r.maxGap)
		if r.maxGap < 400*time.Millisecond {
			t.Errorf("heartbeats are only %v late, the replay does not show the fault", r.maxGap)
		}
	})
	for _, queues := range []int{40, 1400, 5000} {
		t.Run(fmt.Sprint(queues, " queues"), func(t *testing.T) {
			figures, err := replayChange(9, 54, queues)
			if t.Log(figures); err != nil {
				t.Error(err)
			}
		})
	}
}

// BenchmarkChange measures a change at the sizes of the deployments, for docs/CAPACITY.md.
func BenchmarkChange(b *testing.B) {
	for _, hosts := range []struct{ entries, agents int }{{3, 12}, {14, 77}, {35, 160}, {35, 730}} {
		for _, queues := range []int{40, 1400, 5000} {
			b.Run(fmt.Sprintf("%d hosts, %d queues", hosts.entries+hosts.agents, queues), func(b *testing.B) {
				for b.Loop() {
					figures, err := replayChange(hosts.entries, hosts.agents, queues)
					if b.Log(figures); err != nil {
						b.Error(err)
					}
				}
			})
		}
	}
}

// replayChange publishes a second configuration, which the store withholds from a third of the entries. It returns an error
// unless the configuration is in force everywhere within 3 s, without late heartbeats.
func replayChange(entries, agents, queues int) (figures string, err error) {
	r := newReplay(entries, agents, 25)
	r.hosts[0].megabits = 19
	r.runFor(time.Second)
	r.publish(1, encodedQueues(40), storedBytes(40))
	r.runFor(2 * time.Second)
	for i, h := range r.hosts {
		h.changeBytes, h.refused = 0, i%3 == 1
	}
	body := encodedQueues(queues)
	r.publish(2, body, storedBytes(queues))
	r.runFor(3 * time.Second)
	last, ok := r.lastActive(2)
	if !ok || r.maxGap > maxHeartbeatDelay || r.violation != "" {
		err = fmt.Errorf("in force everywhere: %v, heartbeats up to %v late, %s", ok, r.maxGap, r.violation)
	}
	entryBytes, agentBytes, sum := 0, 0, 0
	for _, h := range r.hosts {
		sum += h.changeBytes
		if h.isEntry {
			entryBytes = max(entryBytes, h.changeBytes)
		} else {
			agentBytes = max(agentBytes, h.changeBytes)
		}
	}
	return fmt.Sprintf("body %d B, in force everywhere after %v, heartbeats up to %v late, sent by one entry at most %d B, by one agent %d B, by all %d B",
		len(body), last-3*time.Second, r.maxGap, entryBytes, agentBytes, sum), err
}

// Guards against a process that returns to an older version or never gets the newest one when links break, hosts restart and
// the store refuses some hosts.
func TestEveryEntryGetsTheNewestVersion(t *testing.T) {
	bodies := [][]byte{encodedQueues(600), encodedQueues(1400), encodedQueues(1000)}
	rapid.Check(t, func(t *rapid.T) {
		r := newReplay(3, 10, 19)
		for _, h := range r.hosts[1:r.entries] {
			h.refused = rapid.Bool().Draw(t, "refused")
		}
		version, body := uint64(0), []byte(nil)
		former := make(map[*replayHost][2]uint64) // incarnation and version
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			h := r.hosts[rapid.IntRange(0, len(r.hosts)-1).Draw(t, "host")]
			switch rapid.SampledFrom([]string{"publish", "restart", "break", "mend", "wait"}).Draw(t, "step") {
			case "publish":
				version += rapid.Uint64Range(1, 9).Draw(t, "increment")
				body = rapid.SampledFrom(bodies).Draw(t, "body")
				r.publish(version, body, storedBytes(1400))
			case "restart":
				r.restart(h)
				if h.isEntry && version > 0 {
					r.readStore(h, version, body, storedBytes(1400))
				}
			case "break":
				h.broken = true
				for _, p := range r.hosts {
					p.disconnect(h)
					h.disconnect(p)
				}
			case "mend":
				h.broken = false
			}
			r.runFor(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
			for _, h := range r.hosts {
				state := [2]uint64{uint64(h.incarnation), catalogsync.VersionOf(h.snapshot)}
				if former[h][0] == state[0] && state[1] < former[h][1] {
					t.Fatalf("%s returned from version %d to %d", h.id, former[h][1], state[1])
				}
				former[h] = state
			}
		}
		for _, h := range r.hosts {
			h.broken = false
		}
		r.runFor(3 * time.Second)
		if _, ok := r.lastActive(version); !ok || r.violation != "" {
			t.Fatalf("version %d is not in force at every entry 3 s after the last fault, %s", version, r.violation)
		}
	})
}

// Guards against holders that differ between entries or change when one agent does, and against copies that are all in one
// data centre.
func TestHoldersAreSpreadAndStable(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := catalogsync.NewHolders(), catalogsync.NewHolders()
	dataCentres := make(map[string]string)
	for i := range 54 {
		id, dataCentre := fmt.Sprint("agent-", i), fmt.Sprint("dc-", min(i%10, 2)) // dc-2 has most agents
		dataCentres[id] = dataCentre
		a.AddAgent(id, dataCentre)
		b.AddAgent(fmt.Sprint("agent-", 53-i), fmt.Sprint("dc-", min((53-i)%10, 2)))
	}
	g.Expect(a.Chosen()).To(gomega.HaveLen(catalogsync.HolderCount))
	g.Expect(b.Chosen()).To(gomega.Equal(a.Chosen()))
	perDataCentre := make(map[string]int)
	for _, id := range a.Chosen() {
		perDataCentre[dataCentres[id]]++
	}
	g.Expect(perDataCentre).To(gomega.HaveLen(3))
	g.Expect(perDataCentre["dc-2"]).To(gomega.BeNumerically("<=", 3))
	b.RemoveAgent(a.Chosen()[0])
	same := 0
	for _, id := range b.Chosen() {
		for _, other := range a.Chosen() {
			if id == other {
				same++
			}
		}
	}
	g.Expect(same).To(gomega.Equal(catalogsync.HolderCount - 1))
	now := time.Unix(1000, 0)
	g.Expect(a.TakeDue(now, 5)).To(gomega.BeEmpty(), "the versions of the agents are not known yet")
	a.ReportVersion(a.Chosen()[0], 0)
	g.Expect(a.TakeDue(now, 5)).To(gomega.Equal(a.Chosen()[:1]))
	g.Expect(a.TakeDue(now.Add(catalogsync.NoticeInterval-1), 5)).To(gomega.BeEmpty())
	g.Expect(a.TakeDue(now.Add(catalogsync.NoticeInterval), 5)).To(gomega.HaveLen(1))
}

// Guards against a sender that exceeds its byte rate, or serves one peer only while others wait.
func TestSenderKeepsItsRate(t *testing.T) {
	g := gomega.NewWithT(t)
	const rate = 500_000
	s := catalogsync.NewSender[string](rate)
	s.SetSnapshot(catalogsync.NewSnapshot(3, make([]byte, 1<<20)))
	now, sent, served := time.Unix(1000, 0), 0, make(map[string]int)
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		for _, peer := range []string{"a", "b", "c"} {
			s.AddPull(peer, &wire.CatalogPull{Version: 3})
		}
		for _, reply := range s.TakeReplies(now) {
			sent += len(reply.Chunk.Body)
			served[reply.Peer]++
		}
	}
	g.Expect(sent).To(gomega.BeNumerically("~", 2*rate, 0.1*2*rate))
	g.Expect(served["a"]).To(gomega.BeNumerically("~", served["c"], 1))
}

// Guards against a malformed chunk that is put into force or stops the transfer, and against a timeout that loses what was
// received.
func TestTransferContinuesAtAnotherSource(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := catalogsync.NewSnapshot(4, encodedQueues(1400))
	holder := catalogsync.NewSender[string](1e9)
	holder.SetSnapshot(snapshot)
	now := time.Unix(1000, 0)
	answer := func(pull *catalogsync.Pull[string]) *wire.CatalogChunk {
		holder.AddPull(pull.Peer, pull.Message)
		now = now.Add(10 * time.Millisecond)
		return holder.TakeReplies(now)[0].Chunk
	}
	sources := []catalogsync.Source[string]{{Peer: "a", Version: 4, Rank: 1}, {Peer: "b", Version: 4, Rank: 2}, {Peer: "c", Version: 4, Rank: 3}}
	r := catalogsync.NewReceiver[string](catalogsync.EntryDelay)
	pull := r.Advance(now, 0, sources)
	g.Expect(pull.Peer).To(gomega.Equal("a"))
	pull, _, err := r.HandleChunk(now, "a", answer(pull))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	late := answer(pull)
	g.Expect(r.Advance(now, 0, sources)).To(gomega.BeNil())
	now = now.Add(catalogsync.PullTimeout)
	pull = r.Advance(now, 0, sources)
	g.Expect(pull.Peer).To(gomega.Equal("b"))
	g.Expect(pull.Resumed).To(gomega.BeTrue())
	g.Expect(pull.Message.Offset).To(gomega.BeEquivalentTo(catalogsync.MaxChunk))
	next, _, err := r.HandleChunk(now, "a", late)
	g.Expect(next).To(gomega.BeNil(), "the pull at a was given up")
	g.Expect(err).NotTo(gomega.HaveOccurred())

	earlier := *late
	earlier.Offset = 0
	next, _, err = r.HandleChunk(now, "b", &earlier)
	g.Expect(next).To(gomega.BeNil(), "an answer to an earlier pull, which came late")
	g.Expect(err).NotTo(gomega.HaveOccurred())

	corrupt := *answer(pull)
	corrupt.Body = append([]byte{corrupt.Body[0] + 1}, corrupt.Body[1:]...)
	pull, done, err := r.HandleChunk(now, "b", &corrupt)
	for err == nil && pull != nil {
		pull, done, err = r.HandleChunk(now, "b", answer(pull))
	}
	g.Expect(done).To(gomega.BeNil())
	g.Expect(errors.Is(err, catalogsync.ErrChunk)).To(gomega.BeTrue())
	pull = r.Advance(now.Add(catalogsync.PullTimeout), 0, sources)
	g.Expect(pull.Peer).To(gomega.Equal("a"))
	g.Expect(pull.Message.Offset).To(gomega.BeZero(), "a body that does not match begins anew")
	for done == nil {
		g.Expect(pull).NotTo(gomega.BeNil())
		pull, done, err = r.HandleChunk(now, "a", answer(pull))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(done).To(gomega.Equal(snapshot))
	g.Expect(r.Advance(now, 4, nil)).To(gomega.BeNil())
}
