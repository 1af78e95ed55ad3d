package wire

// RunOutcome is the end of an offered task as the agent reports it.
type RunOutcome uint8

// Outcomes of an offer.
const (
	// RunDone: the task ended and succeeded.
	RunDone RunOutcome = 1
	// RunFailed: the task ran and failed.
	RunFailed RunOutcome = 2
	// RunStopped: the task began and was ended before it was done; nothing of it runs any more.
	RunStopped RunOutcome = 3
	// RunNotStarted: the task never began and will not begin.
	RunNotStarted RunOutcome = 4
	// RunInvalid: the worker refuses the task as malformed; it did not begin.
	RunInvalid RunOutcome = 5
)

// Offer asks an agent to run a task. The agent answers each offer with one RunEnd.
type Offer struct {
	// Number is chosen by the entry. It rises with each offer on a link and names the offer in later messages.
	Number uint64 `cbor:"1,keyasint"`
	Job    string `cbor:"2,keyasint"`
	Step   int    `cbor:"3,keyasint,omitempty"`
	Index  int    `cbor:"4,keyasint,omitempty"`
	// Attempt is the lowest run number that the agent may use.
	Attempt      uint32 `cbor:"5,keyasint"`
	Payload      string `cbor:"6,keyasint,omitempty"`
	Service      string `cbor:"7,keyasint"`
	MilliCPU     int64  `cbor:"8,keyasint,omitempty"`
	MemoryMB     int64  `cbor:"9,keyasint,omitempty"`
	Accelerators int64  `cbor:"10,keyasint,omitempty"`
	// EstimateMillis is the expected run time on a worker of ordinary speed.
	EstimateMillis int64 `cbor:"11,keyasint,omitempty"`
	Priority       int   `cbor:"12,keyasint,omitempty"`
	// SlackMillis is the time from now within which the task should begin to meet its objective; may be negative.
	SlackMillis int64 `cbor:"13,keyasint,omitempty"`
	// BudgetMillis is the time from now after which nobody waits for the task.
	BudgetMillis int64 `cbor:"14,keyasint"`
	// LateMillis is the time after the slack in which a late answer still has a worth.
	LateMillis int64 `cbor:"15,keyasint,omitempty"`
	// WaitMillis is the longest expected wait at the agent. It gives back a task that would wait longer; 0 means any wait.
	WaitMillis int64 `cbor:"16,keyasint,omitempty"`
}

// Offers carries new offers and withdrawals of earlier ones from an entry to an agent.
type Offers struct {
	// SentMicros is the steady time of the sender, by which the receiver finds messages that were held up.
	SentMicros int64    `cbor:"1,keyasint"`
	Offers     []Offer  `cbor:"2,keyasint,omitempty"`
	Withdraw   []uint64 `cbor:"3,keyasint,omitempty"` // numbers of offers that are not wanted any more
	// Resume is set in the first message on a new link. Outstanding then lists the offers that the entry believes to be at
	// this process of the agent; the agent ends all others of the entry.
	Resume      bool     `cbor:"4,keyasint,omitempty"`
	Outstanding []uint64 `cbor:"5,keyasint,omitempty"`
	// HeardMicros is the SentMicros of the last message that the sender has received on this link.
	HeardMicros int64 `cbor:"6,keyasint,omitempty"`
}

// RunEnd is the end of one offer.
type RunEnd struct {
	Number  uint64     `cbor:"1,keyasint"`
	Outcome RunOutcome `cbor:"2,keyasint"`
	// Attempt is the run number that was used, 0 if the task did not begin.
	Attempt        uint32 `cbor:"3,keyasint,omitempty"`
	DurationMicros int64  `cbor:"4,keyasint,omitempty"` // from the start to the end of the run
	Reason         string `cbor:"5,keyasint,omitempty"`
}

// WorkerInfo is what changes seldom about the worker beside an agent.
type WorkerInfo struct {
	// Worker and Service name the worker; a new life of a worker has another Life.
	Worker       string   `cbor:"1,keyasint"`
	Life         int64    `cbor:"2,keyasint"`
	Service      string   `cbor:"3,keyasint"`
	Labels       []string `cbor:"4,keyasint,omitempty"`
	MilliCPU     int64    `cbor:"5,keyasint"`
	MemoryMB     int64    `cbor:"6,keyasint"`
	Accelerators int64    `cbor:"7,keyasint,omitempty"`
}

// WorkerLoad is the state of the worker beside an agent.
type WorkerLoad struct {
	// Seen is the highest offer number of the receiver that this load includes.
	Seen uint64 `cbor:"1,keyasint"`
	// Open is false when the worker takes no new tasks, with the reason in Closed.
	Open   bool   `cbor:"2,keyasint"`
	Closed string `cbor:"3,keyasint,omitempty"`
	// FreeMilliCPU is what neither runs nor waits use; negative when tasks wait.
	FreeMilliCPU int64 `cbor:"4,keyasint"`
	// RemainingMillis is the expected time until half of the running tasks have ended.
	RemainingMillis int64 `cbor:"5,keyasint,omitempty"`
	// Waiting is the work that waits, in milliseconds of the whole worker, by priority (the last for all others).
	Waiting []int64 `cbor:"6,keyasint,omitempty"`
	// SlownessPermille is the run time of tasks here against their estimates; 1000 means as estimated.
	SlownessPermille int64 `cbor:"7,keyasint"`
	// Trial is set while the worker takes one task at a time, because it stalled or failed what it started.
	Trial bool `cbor:"8,keyasint,omitempty"`
	// Fence is the fencing token of the agent's process. It rises from each process of an agent to the next.
	Fence uint64 `cbor:"9,keyasint,omitempty"`
}

// RunReport carries ends and the load from an agent to an entry.
type RunReport struct {
	SentMicros int64       `cbor:"1,keyasint"`
	Ends       []RunEnd    `cbor:"2,keyasint,omitempty"`
	Began      []uint64    `cbor:"3,keyasint,omitempty"` // offers whose tasks began
	Load       *WorkerLoad `cbor:"4,keyasint,omitempty"`
	// Info is set in the first report on a link and when it has changed.
	Info *WorkerInfo `cbor:"6,keyasint,omitempty"`
	// Held lists the offers of a Resume that the agent still has.
	Held []uint64 `cbor:"5,keyasint,omitempty"`
}

// Beat proves in both directions that a link works.
type Beat struct {
	SentMicros int64 `cbor:"1,keyasint"`
	// HeardMicros is the SentMicros of the last message that the sender has received on this link.
	HeardMicros int64 `cbor:"2,keyasint,omitempty"`
	// CatalogVersion is the version of the configuration that the sender has.
	CatalogVersion uint64 `cbor:"3,keyasint,omitempty"`
	// LoadMillis is the least time between two load reports without ends that an entry asks of an agent.
	LoadMillis uint32 `cbor:"4,keyasint,omitempty"`
}

// CatalogPull asks an agent whose Beat shows a newer configuration for it.
type CatalogPull struct{}

// CatalogPush carries the configuration to a process that has an older version.
type CatalogPush struct {
	Version uint64 `cbor:"1,keyasint"`
	Body    []byte `cbor:"2,keyasint"` // CBOR of catalog.Catalog
}

// EntryAddresses tells an agent where entries accept links.
type EntryAddresses struct {
	Addresses []string `cbor:"1,keyasint"`
}

// Type implements Message.
func (*Offers) Type() Type { return TypeOffers }

// Type implements Message.
func (*RunReport) Type() Type { return TypeRunReport }

// Type implements Message.
func (*Beat) Type() Type { return TypeBeat }

// Type implements Message.
func (*CatalogPull) Type() Type { return TypeCatalogPull }

// Type implements Message.
func (*CatalogPush) Type() Type { return TypeCatalogPush }

// Type implements Message.
func (*EntryAddresses) Type() Type { return TypeEntryAddresses }
