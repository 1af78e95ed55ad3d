package entry

import (
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/coltsfootspur/coltsfootspur/internal/document"
	"github.com/coltsfootspur/coltsfootspur/internal/quota"
	"github.com/coltsfootspur/coltsfootspur/internal/store"
	table "github.com/coltsfootspur/coltsfootspur/internal/submission"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// control is the state of an entry. It belongs to the control goroutine.
type control struct {
	entry       *Entry
	options     Options
	log         log.Interface
	incarnation uint64
	startedAt   time.Time
	metrics     *metrics
	random      *rand.Rand

	now    time.Time
	timers timerQueue

	// list is the list of entries that the table uses.
	list  wire.EntryList
	table *table.Table
	tick  *timerEntry // next call of the table's Tick

	documents *document.Registry
	services  map[string]*service
	// dirty are the services that the next pass visits.
	dirty    []*service
	quotas   *quota.Quotas
	agents   map[string]*agentSession
	peers    map[string]*peer
	interval time.Duration // of the heartbeats

	// roster is what the other entries are still to be told about the agents.
	roster   rosterBatch
	collects collectQueue

	jobs      map[uint64]*job
	running   map[wire.KeyHash]*job
	tableJobs map[table.Job]*job
	forwards  map[uint64]*forward
	waiting   map[*waiting]struct{}

	lastJob, lastAttempt, lastRequest, lastConfirmation uint64

	// provenLease is the lease under which the store last showed this entry as a member. Only renewals from provenFrom on
	// prove that nobody removed it.
	provenLease store.LeaseID
	provenFrom  time.Time

	// seen is the last snapshot of the watched keys, seenAt its time.
	seen   *snapshot
	seenAt time.Time
	// leaseGoneSince has, by incarnation, when the store first showed no lease of a member.
	leaseGoneSince map[uint64]time.Time
	// leaseSeen has the incarnations of members whose lease the store has shown.
	leaseSeen map[uint64]bool
	// refusals has, by incarnation, the answers of the hosts of members to which there is no link.
	refusals map[uint64]*refusal
	// leaseMissing tells the holder of the lease that the store does not show it.
	leaseMissing chan struct{}
	// changing is set while a change of the list is under way.
	changing bool
	records  records
	// stopping is set from the begin of a graceful shutdown; the entry then does not join the list again.
	stopping bool
}

func newControl(e *Entry) *control {
	now := e.options.Clock.Now()
	c := &control{
		entry: e, options: e.options, log: e.log, incarnation: e.incarnation, startedAt: now, metrics: newMetrics(e),
		random: rand.New(rand.NewPCG(e.incarnation, uint64(now.UnixNano()))), now: now,
		documents: document.NewRegistry(), services: make(map[string]*service), quotas: quota.New(now),
		agents: make(map[string]*agentSession), peers: make(map[string]*peer),
		jobs: make(map[uint64]*job), running: make(map[wire.KeyHash]*job), tableJobs: make(map[table.Job]*job),
		forwards: make(map[uint64]*forward), waiting: make(map[*waiting]struct{}),
		leaseGoneSince: make(map[uint64]time.Time), leaseMissing: make(chan struct{}, 1),
		leaseSeen: make(map[uint64]bool), refusals: make(map[uint64]*refusal),
		seen: newSnapshot(), records: records{interval: fullCheckInterval},
	}
	c.table = table.New(c.tableConfig(), c.self())
	c.planQuotaReport()
	c.planConfirmation()
	c.planSweep()
	c.planProbes()
	return c
}

func (c *control) tableConfig() table.Config {
	return table.Config{
		Retention: c.options.Retention, AgentMemory: c.options.AgentMemory,
		MaxEntries: c.options.TableEntries, MaxAnswerBytes: c.options.TableBytes,
	}
}

// self returns this entry as a member of the list.
func (c *control) self() wire.Member {
	return wire.Member{
		ID: c.options.ID, Incarnation: c.incarnation, Address: c.options.AdvertiseAddress,
		DataCentre: c.options.DataCentre, Region: c.options.Region, State: wire.MemberActive,
	}
}

// updateQuotaPeers tells the quotas which other entries share them.
func (c *control) updateQuotaPeers() {
	var ids []string
	for _, m := range c.effective().Members {
		if m.ID != c.options.ID {
			ids = append(ids, m.ID)
		}
	}
	c.quotas.SetPeers(c.now, ids)
}

// planQuotaReport sends the usage of the teams to the other entries at the interval of the quotas.
func (c *control) planQuotaReport() {
	c.timers.add(c.quotas.Due(), func(now time.Time) {
		if usage := c.quotas.Usage(now); len(usage.Teams) > 0 {
			c.broadcast(&usage)
		}
		c.planQuotaReport()
	})
}
