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

// control is the state of an entry. Only the control goroutine accesses it.
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
	list      wire.EntryList
	table     *table.Table
	tickTimer *pendingTimer // next call of the table's Tick

	documents *document.Registry
	services  map[string]*service
	// dirtyServices are the services that the next pass of the control loop visits.
	dirtyServices     []*service
	quotas            *quota.Quotas
	agents            map[string]*agentSession
	peers             map[string]*peer
	heartbeatInterval time.Duration

	// rosterBatch holds the changes of the agents that were not sent to the other entries yet.
	rosterBatch  rosterBatch
	collectQueue collectQueue

	jobs            map[uint64]*job
	jobsByKey       map[wire.KeyHash]*job
	tableJobs       map[table.Job]*job
	forwards        map[uint64]*forward
	waitingRequests map[*waitingRequest]struct{}

	lastJobID, lastAttemptID, lastRequestID, lastConfirmationPing uint64

	// confirmedLease is the lease under which the store last showed this entry as a member. Only renewals sent from
	// confirmedFrom on prove that no other entry removed this one.
	confirmedLease store.LeaseID
	confirmedFrom  time.Time

	// snapshot is the last snapshot of the watched keys, snapshotAt the time at which it was handled.
	snapshot   *snapshot
	snapshotAt time.Time
	// leaseMissingSince has, by incarnation, the time since which the store shows no lease of a member.
	leaseMissingSince map[uint64]time.Time
	// leaseSeen has the incarnations of members whose lease the store has shown.
	leaseSeen map[uint64]bool
	// probeStates has, by incarnation, the results of the probes of members to which there is no link.
	probeStates map[uint64]*probeState
	// leaseMissing signals to the leaseHolder that the store does not show the lease of this entry.
	leaseMissing chan struct{}
	// changingList is set while a change of the list is being written to the store.
	changingList bool
	records      recordSync
	// stopping is set from the beginning of a graceful shutdown on; the entry then does not join the list again.
	stopping bool
}

func newControl(e *Entry) *control {
	now := e.options.Clock.Now()
	c := &control{
		entry: e, options: e.options, log: e.log, incarnation: e.incarnation, startedAt: now, metrics: newMetrics(e),
		random: rand.New(rand.NewPCG(e.incarnation, uint64(now.UnixNano()))), now: now,
		documents: document.NewRegistry(), services: make(map[string]*service), quotas: quota.New(now),
		agents: make(map[string]*agentSession), peers: make(map[string]*peer),
		jobs: make(map[uint64]*job), jobsByKey: make(map[wire.KeyHash]*job), tableJobs: make(map[table.Job]*job),
		forwards: make(map[uint64]*forward), waitingRequests: make(map[*waitingRequest]struct{}),
		leaseMissingSince: make(map[uint64]time.Time), leaseMissing: make(chan struct{}, 1),
		leaseSeen: make(map[uint64]bool), probeStates: make(map[uint64]*probeState),
		snapshot: newSnapshot(), records: recordSync{checkInterval: fullCheckInterval},
	}
	c.table = table.New(c.tableConfig(), c.self())
	c.scheduleQuotaReport()
	c.scheduleConfirmations()
	c.scheduleSweep()
	c.scheduleProbes()
	return c
}

func (c *control) tableConfig() table.Config {
	return table.Config{
		Retention: c.options.Retention, SilentAgentTimeout: c.options.SilentAgentTimeout,
		MaxSubmissions: c.options.MaxSubmissions, MaxAnswerBytes: c.options.MaxAnswerBytes,
	}
}

// self returns this entry as a member of the list.
func (c *control) self() wire.Member {
	return wire.Member{
		ID: c.options.ID, Incarnation: c.incarnation, Address: c.options.AdvertiseAddress,
		DataCentre: c.options.DataCentre, Region: c.options.Region, State: wire.MemberActive,
	}
}

// updateQuotaPeers passes the entries that share the quotas to the quota accounting.
func (c *control) updateQuotaPeers() {
	var ids []string
	for _, m := range c.effectiveList().Members {
		if m.ID != c.options.ID {
			ids = append(ids, m.ID)
		}
	}
	c.quotas.SetPeers(c.now, ids)
}

// scheduleQuotaReport sends the usage of the teams to the other entries at the reporting interval of the quotas.
func (c *control) scheduleQuotaReport() {
	c.timers.add(c.quotas.NextReportAt(), func(now time.Time) {
		if usage := c.quotas.TakeUsage(now); len(usage.Teams) > 0 {
			c.broadcast(&usage)
		}
		c.scheduleQuotaReport()
	})
}
