package wire

// RunOutcome is the outcome of an offered task as the agent reports it.
type RunOutcome uint8

// Outcomes of an offer.
const (
	// RunDone means that the task succeeded.
	RunDone RunOutcome = 1
	// RunFailed means that the task ran and failed.
	RunFailed RunOutcome = 2
	// RunStopped means that the task started and was stopped before it completed. It is not running any more.
	RunStopped RunOutcome = 3
	// RunNotStarted means that the task did not start and will not start.
	RunNotStarted RunOutcome = 4
	// RunInvalid means that the worker rejected the task as malformed. It did not start.
	RunInvalid RunOutcome = 5
)

// Offer asks an agent to run a task. The agent answers each offer with one RunEnd.
type Offer struct {
	// Number identifies the offer in later messages. The entry assigns increasing numbers on each link.
	Number uint64 `cbor:"1,keyasint"`
	Job    string `cbor:"2,keyasint"`
	Step   int    `cbor:"3,keyasint,omitempty"`
	Index  int    `cbor:"4,keyasint,omitempty"`
	// Attempt is the lowest attempt number that the agent may use.
	Attempt      uint32 `cbor:"5,keyasint"`
	Payload      string `cbor:"6,keyasint,omitempty"`
	Service      string `cbor:"7,keyasint"`
	MilliCPU     int64  `cbor:"8,keyasint,omitempty"`
	MemoryMB     int64  `cbor:"9,keyasint,omitempty"`
	Accelerators int64  `cbor:"10,keyasint,omitempty"`
	// EstimateMillis is the expected run time in milliseconds on a worker of normal speed.
	EstimateMillis int64 `cbor:"11,keyasint,omitempty"`
	Priority       int   `cbor:"12,keyasint,omitempty"`
	// SlackMillis is the time from now within which the task has to start to meet its latency objective. It can be negative.
	SlackMillis int64 `cbor:"13,keyasint,omitempty"`
	// BudgetMillis is the time from now until the deadline, after which no caller waits for the task.
	BudgetMillis int64 `cbor:"14,keyasint"`
	// LateWindowMillis is the time after the slack during which a late answer still has value.
	LateWindowMillis int64 `cbor:"15,keyasint,omitempty"`
	// MaxWaitMillis is the longest expected wait at the agent. The agent returns a task that would wait longer; 0 means no
	// limit.
	MaxWaitMillis int64 `cbor:"16,keyasint,omitempty"`
	// Label is a label that the worker must have; empty means any worker.
	Label string `cbor:"17,keyasint,omitempty"`
	// ReserveMillis is the time for which the agent may hold capacity that becomes free soon for the task, and after which it
	// returns a task that has not started. 0 means that the offer is no reservation.
	ReserveMillis int64 `cbor:"18,keyasint,omitempty"`
}

// offerOverhead is the largest size in bytes of an encoded offer besides its texts.
const offerOverhead = 128

// EncodedBytes returns an upper bound of the size of the encoded offer.
func (o *Offer) EncodedBytes() int {
	return len(o.Job) + len(o.Payload) + len(o.Service) + len(o.Label) + offerOverhead
}

// Offers carries new offers and withdrawals of earlier ones from an entry to an agent.
type Offers struct {
	// SentMicros is the monotonic time of the sender in microseconds. With it the receiver detects delayed messages.
	SentMicros int64    `cbor:"1,keyasint"`
	Offers     []Offer  `cbor:"2,keyasint,omitempty"`
	Withdraw   []uint64 `cbor:"3,keyasint,omitempty"` // numbers of the withdrawn offers
	// Resume is set in the first message on a new link. Outstanding then lists the offers that, according to the entry, this
	// process of the agent still has; the agent ends all other offers of the entry.
	Resume      bool     `cbor:"4,keyasint,omitempty"`
	Outstanding []uint64 `cbor:"5,keyasint,omitempty"`
	// LastReceivedMicros is the SentMicros of the last message that the sender has received on this link.
	LastReceivedMicros int64 `cbor:"6,keyasint,omitempty"`
	// EndsIdle is set when the entry had no open offer on the link before this message. The agent then measures the time
	// without contact from this message on, because the last echo can be older than that.
	EndsIdle bool `cbor:"7,keyasint,omitempty"`
	// Demand is the work of the jobs of the receiver's service that arrive at the sender, by priority, in thousandths of a core.
	// The last element includes all remaining priorities. Empty means that it has not changed much.
	Demand []int64 `cbor:"12,keyasint,omitempty"`
}

// RunEnd reports the end of one offer.
type RunEnd struct {
	Number  uint64     `cbor:"1,keyasint"`
	Outcome RunOutcome `cbor:"2,keyasint"`
	// Attempt is the attempt number that was used; 0 if the task did not start.
	Attempt        uint32 `cbor:"3,keyasint,omitempty"`
	DurationMicros int64  `cbor:"4,keyasint,omitempty"` // from the start to the end of the run
	Reason         string `cbor:"5,keyasint,omitempty"`
}

// WorkerInfo describes the worker beside an agent. It changes rarely. The state dump of a process contains it as JSON under
// the names of its fields.
type WorkerInfo struct {
	// Worker and Service identify the worker. Life is the incarnation of the worker; it increases with each restart.
	Worker       string   `cbor:"1,keyasint"`
	Life         int64    `cbor:"2,keyasint"`
	Service      string   `cbor:"3,keyasint"`
	Labels       []string `cbor:"4,keyasint,omitempty"`
	MilliCPU     int64    `cbor:"5,keyasint"`
	MemoryMB     int64    `cbor:"6,keyasint"`
	Accelerators int64    `cbor:"7,keyasint,omitempty"`
}

// WorkerLoad is the load of the worker beside an agent. The state dump of a process contains it as JSON under the names of
// its fields.
type WorkerLoad struct {
	// Seen is the highest number among the receiver's offers that this load includes.
	Seen uint64 `cbor:"1,keyasint"`
	// Open is false when the worker accepts no new tasks. Closed then has the reason.
	Open   bool   `cbor:"2,keyasint"`
	Closed string `cbor:"3,keyasint,omitempty"`
	// FreeMilliCPU is the CPU that neither running nor waiting tasks claim. It can be negative while tasks wait.
	FreeMilliCPU int64 `cbor:"4,keyasint"`
	// RemainingMillis is the expected time in milliseconds until half of the running tasks have ended.
	RemainingMillis int64 `cbor:"5,keyasint,omitempty"`
	// Waiting is the waiting work by priority, in milliseconds of the whole worker. The last element includes all
	// remaining priorities.
	Waiting []int64 `cbor:"6,keyasint,omitempty"`
	// SlownessPermille is the ratio of the run time of tasks on this worker to their estimates; 1000 means as estimated.
	SlownessPermille int64 `cbor:"7,keyasint"`
	// Trial is set while the worker is on probation: it accepts one task at a time because its tasks stalled or failed.
	Trial bool `cbor:"8,keyasint,omitempty"`
	// Fence is the fencing token of the agent's process. Each new process of an agent has a higher token.
	Fence uint64 `cbor:"9,keyasint,omitempty"`
	// Free is the capacity that is expected to be free from now on, beside the tasks that run or have a place in the plan of the
	// agent. It is empty while much is free or if the agent does not plan.
	Free []FreeStep `cbor:"10,keyasint,omitempty"`
	// Reservations is the number of reservations that the agent holds for all entries.
	Reservations int `cbor:"11,keyasint,omitempty"`
	// Demand is the work of the arriving jobs of the worker's service at all entries together, by priority, in thousandths of a
	// core. The last element includes all remaining priorities.
	Demand []int64 `cbor:"12,keyasint,omitempty"`
}

// FreeStep is the free CPU of a worker from a time on until the next step. It is encoded as an array.
type FreeStep struct {
	_        struct{} `cbor:",toarray"`
	Millis   int64    // from the time of the report
	MilliCPU int64    // can be negative, if a run exceeds its estimate
}

// RunReport carries the ends of offers and the load of the worker from an agent to an entry.
type RunReport struct {
	SentMicros    int64       `cbor:"1,keyasint"`
	Ends          []RunEnd    `cbor:"2,keyasint,omitempty"`
	StartedOffers []uint64    `cbor:"3,keyasint,omitempty"` // numbers of the offers whose tasks have started
	Load          *WorkerLoad `cbor:"4,keyasint,omitempty"`
	// Info is set in the first report on a link and whenever it has changed.
	Info *WorkerInfo `cbor:"6,keyasint,omitempty"`
	// HeldOffers lists the offers from Offers.Outstanding that the agent still has.
	HeldOffers []uint64 `cbor:"5,keyasint,omitempty"`
}

// Heartbeat confirms that a link works in both directions.
type Heartbeat struct {
	SentMicros int64 `cbor:"1,keyasint"`
	// LastReceivedMicros is the SentMicros of the last message that the sender has received on this link.
	LastReceivedMicros int64 `cbor:"2,keyasint,omitempty"`
	// CatalogVersion is the version of the configuration that the sender has.
	CatalogVersion uint64 `cbor:"3,keyasint,omitempty"`
	// LoadIntervalMillis is the minimum interval in milliseconds between two load reports that carry no ends. An entry
	// requests it from an agent.
	LoadIntervalMillis uint32 `cbor:"4,keyasint,omitempty"`
	// IdleIntervalMillis is the interval in milliseconds of heartbeats on the link while the entry has no open offer on it.
	// An entry sets it.
	IdleIntervalMillis uint32 `cbor:"5,keyasint,omitempty"`
	// Demand is the same as in Offers, but empty means none. An entry sets it.
	Demand []int64 `cbor:"12,keyasint,omitempty"`
	// EvacuationRevision is the revision of the Evacuations that the sender holds, 0 if it knows none.
	EvacuationRevision uint64 `cbor:"6,keyasint,omitempty"`
}

// Evacuations carries the data centres whose workers start nothing, as of a revision of the store. It replaces those of lower
// revisions. The receiver confirms it with a Heartbeat.
type Evacuations struct {
	Revision    uint64   `cbor:"1,keyasint"`
	DataCentres []string `cbor:"2,keyasint,omitempty"`
}

// CatalogNotice tells an agent that the sender has a newer version of the configuration, which the agent should pull.
type CatalogNotice struct {
	Version uint64   `cbor:"1,keyasint"`
	Digest  [32]byte `cbor:"2,keyasint"` // SHA-256 of the encoded configuration
	Size    uint32   `cbor:"3,keyasint"` // of the encoded configuration in bytes
}

// CatalogPull requests the chunk of the encoded configuration at an offset.
type CatalogPull struct {
	Version uint64 `cbor:"1,keyasint"`
	Offset  uint32 `cbor:"2,keyasint,omitempty"`
}

// CatalogChunk answers a CatalogPull. A sender that has a newer version answers with the first chunk of that one. A sender that
// has an older version or none answers with that version, 0 for none, and without a body.
type CatalogChunk struct {
	Version uint64   `cbor:"1,keyasint"`
	Digest  [32]byte `cbor:"2,keyasint"`
	Size    uint32   `cbor:"3,keyasint,omitempty"`
	Offset  uint32   `cbor:"4,keyasint,omitempty"`
	Body    []byte   `cbor:"5,keyasint,omitempty"`
}

// EntryAddresses lists for an agent the addresses on which entries accept links.
type EntryAddresses struct {
	Addresses []string `cbor:"1,keyasint"`
}

// JobQuery asks the other entries whether a job is open at one of them. An entry sends it to an agent, which passes it on to the
// other entries that it has a link to.
type JobQuery struct {
	// Asker is the incarnation of the entry that asks. The agent sets it.
	Asker uint64 `cbor:"1,keyasint,omitempty"`
	// Number identifies the query at the entry that asks.
	Number uint64 `cbor:"2,keyasint"`
	Job    string `cbor:"3,keyasint"`
	// Cancel ends the job if it is open.
	Cancel bool `cbor:"4,keyasint,omitempty"`
}

// JobReply answers a JobQuery by the same way. Only an entry at which the job is open sends it, or was until the query cancelled it.
type JobReply struct {
	Asker  uint64 `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
	// Started is true if a task of the job has started.
	Started bool `cbor:"3,keyasint,omitempty"`
}

// Type implements Message.
func (*JobQuery) Type() Type { return TypeJobQuery }

// Type implements Message.
func (*JobReply) Type() Type { return TypeJobReply }

// Type implements Message.
func (*Offers) Type() Type { return TypeOffers }

// Type implements Message.
func (*Evacuations) Type() Type { return TypeEvacuations }

// Type implements Message.
func (*RunReport) Type() Type { return TypeRunReport }

// Type implements Message.
func (*Heartbeat) Type() Type { return TypeHeartbeat }

// Type implements Message.
func (*CatalogPull) Type() Type { return TypeCatalogPull }

// Type implements Message.
func (*CatalogNotice) Type() Type { return TypeCatalogNotice }

// Type implements Message.
func (*CatalogChunk) Type() Type { return TypeCatalogChunk }

// Type implements Message.
func (*EntryAddresses) Type() Type { return TypeEntryAddresses }
