package wire

import "time"

// Header is one HTTP header field.
type Header struct {
	Name  string `cbor:"1,keyasint" json:"name"`
	Value string `cbor:"2,keyasint" json:"value"`
}

// Start asks an agent to run one attempt of one task.
type Start struct {
	// Attempt is unique among all attempts of the home's incarnation, over all agents, and increases.
	Attempt uint64 `cbor:"1,keyasint"`
	// Home and HomeIncarnation identify the entry that owns the job.
	Home            string `cbor:"2,keyasint"`
	HomeIncarnation uint64 `cbor:"3,keyasint"`
	// ListVersion is the version of the list of entries under which the home starts the task; 0 for a job without an
	// idempotency key.
	ListVersion uint64  `cbor:"4,keyasint,omitempty"`
	Key         KeyHash `cbor:"5,keyasint"`
	Task        uint16  `cbor:"6,keyasint"`
	Tasks       uint16  `cbor:"7,keyasint"`
	Service     string  `cbor:"8,keyasint"`
	Kind        string  `cbor:"9,keyasint"`
	Method      string  `cbor:"10,keyasint"`
	Path        string  `cbor:"11,keyasint"`
	// Headers and Body are passed to the upstream as they are.
	Headers []Header `cbor:"12,keyasint,omitempty"`
	Body    []byte   `cbor:"13,keyasint,omitempty"`
	// BudgetMillis is the time in milliseconds left until the deadline when the message was sent.
	BudgetMillis uint32 `cbor:"14,keyasint"`
	Urgent       bool   `cbor:"15,keyasint,omitempty"`
	Idempotent   bool   `cbor:"16,keyasint,omitempty"`
	// Long marks a long-running task, which may use only the slots that are not reserved for short tasks.
	Long bool `cbor:"17,keyasint,omitempty"`
	// Retry is set when every earlier attempt of this task has ended, as far as the home can confirm. An agent with a
	// record of an earlier attempt starts the task again only if Retry and Idempotent are set and that attempt has ended.
	Retry bool `cbor:"18,keyasint,omitempty"`
	// DocumentRevision is the revision of the service document that the home used. An agent with a lower revision pulls the
	// document before it runs the task.
	DocumentRevision uint64 `cbor:"19,keyasint,omitempty"`
	// Digest is the digest of the job, so that the reuse of a key is still detected after a recovery from start records.
	// A zero digest is not compared.
	Digest [16]byte `cbor:"20,keyasint"`
	// Expires is the deadline of the job by the wall clock of the home. An agent that reads the message long after it, for
	// example because it was paused, does not run the task. A zero time is not checked.
	Expires time.Time `cbor:"21,keyasint"`
}

// Accepted acknowledges attempts that have no result yet.
type Accepted struct {
	Attempts []uint64 `cbor:"1,keyasint"`
}

// AttemptState is the state of an attempt at the agent.
type AttemptState uint8

// States of an attempt. Refused and NeverSeen mean that the upstream was not called and will not be called for it.
const (
	AttemptQueued    AttemptState = 1
	AttemptRunning   AttemptState = 2
	AttemptDone      AttemptState = 3 // the upstream answered; Status and Body are valid
	AttemptRefused   AttemptState = 4 // not started; Reason has the cause
	AttemptUnknown   AttemptState = 5 // started, and the upstream's answer was lost or timed out
	AttemptNeverSeen AttemptState = 6 // not started, and recorded as refused
)

// RefusalReason is the reason why an agent did not start an attempt.
type RefusalReason uint8

// Reasons for which an agent refuses an attempt.
const (
	RefusedNone         RefusalReason = 0
	RefusedBusy         RefusalReason = 1 // no slot and no place in the agent's queue
	RefusedLeaving      RefusalReason = 2
	RefusedStaleList    RefusalReason = 3 // the start refers to an older list of entries; Result.List has the agent's list
	RefusedFenced       RefusalReason = 4 // the home is not a member of the agent's list of entries
	RefusedCancelled    RefusalReason = 5
	RefusedExpired      RefusalReason = 6  // the deadline passed before a slot was free
	RefusedDuplicate    RefusalReason = 7  // a record of the same task exists; Result.Recorded has its state
	RefusedInvalid      RefusalReason = 8  // the agent does not serve this service
	RefusedTableFull    RefusalReason = 9  // the table of start records is full
	RefusedUpstreamDown RefusalReason = 10 // the upstream refused the connection, so nothing was sent to it
)

// Load is the load of an agent in numbers of tasks. It is reported with each result.
type Load struct {
	Running     uint16 `cbor:"1,keyasint,omitempty"`
	RunningLong uint16 `cbor:"2,keyasint,omitempty"`
	Queued      uint16 `cbor:"3,keyasint,omitempty"`
}

// Result is the final state of one attempt.
type Result struct {
	Attempt uint64        `cbor:"1,keyasint"`
	State   AttemptState  `cbor:"2,keyasint"`
	Reason  RefusalReason `cbor:"3,keyasint,omitempty"`
	// Status, Headers and Body are the upstream's answer when State is AttemptDone.
	Status  uint16   `cbor:"4,keyasint,omitempty"`
	Headers []Header `cbor:"5,keyasint,omitempty"`
	Body    []byte   `cbor:"6,keyasint,omitempty"`
	// QueuedMicros and ServiceMicros are the times in microseconds spent in the queue of the agent and at the upstream.
	QueuedMicros  uint32 `cbor:"7,keyasint,omitempty"`
	ServiceMicros uint32 `cbor:"8,keyasint,omitempty"`
	Load          Load   `cbor:"9,keyasint"`
	// Recorded is set with RefusedDuplicate. It is the state of the recorded attempt, whose answer is in Status, Headers and
	// Body if it was kept.
	Recorded AttemptState `cbor:"10,keyasint,omitempty"`
	// List is the agent's list of entries. It is set with RefusedStaleList and RefusedFenced.
	List *EntryList `cbor:"11,keyasint,omitempty"`
	// Error describes in readable text why the state is AttemptUnknown.
	Error string `cbor:"12,keyasint,omitempty"`
}

// Cancel asks an agent not to start the attempts that have not started.
type Cancel struct {
	Attempts []uint64 `cbor:"1,keyasint"`
}

// Query asks an agent for the state of attempts that the sending incarnation of the home has started.
type Query struct {
	Attempts []uint64 `cbor:"1,keyasint"`
}

// QueryReply lists the queried attempts that have no result yet. The agent sends a Result for each other attempt, with
// AttemptNeverSeen if it has no record of the attempt.
type QueryReply struct {
	Queued  []uint64 `cbor:"1,keyasint,omitempty"`
	Running []uint64 `cbor:"2,keyasint,omitempty"`
}

// Leaving announces that the sender accepts no new work.
type Leaving struct{}

// Collect asks an agent to adopt List and to send its start records of an expelled entry whose keys now belong to the
// sender. It is also used for an entry that shut down cleanly before another entry was expelled, because the expelled
// entry may have received its answers in the handover.
type Collect struct {
	List                *EntryList `cbor:"1,keyasint"`
	Expelled            string     `cbor:"2,keyasint"`
	ExpelledIncarnation uint64     `cbor:"3,keyasint"`
	// Round is the number of the sender's recovery round. It is returned with the records.
	Round uint64 `cbor:"4,keyasint,omitempty"`
}

// String returns the name of the reason in metrics and logs.
func (r RefusalReason) String() string {
	if int(r) < len(refusalReasonNames) && refusalReasonNames[r] != "" {
		return refusalReasonNames[r]
	}
	return "other"
}

var refusalReasonNames = [...]string{
	RefusedNone: "none", RefusedBusy: "busy", RefusedLeaving: "leaving", RefusedStaleList: "stale_list",
	RefusedFenced: "fenced", RefusedCancelled: "cancelled", RefusedExpired: "expired", RefusedDuplicate: "duplicate",
	RefusedInvalid: "invalid", RefusedTableFull: "full", RefusedUpstreamDown: "down",
}
