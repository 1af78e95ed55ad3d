package wire

// TaskSpec is one task of a job as the caller sent it.
type TaskSpec struct {
	Path    string   `cbor:"1,keyasint,omitempty"`
	Headers []Header `cbor:"2,keyasint,omitempty"`
	Body    []byte   `cbor:"3,keyasint,omitempty"`
}

// Job is a submission in the form in which it is forwarded to its home.
type Job struct {
	Service string `cbor:"1,keyasint"`
	Kind    string `cbor:"2,keyasint"`
	Team    string `cbor:"3,keyasint,omitempty"`
	// Key is the caller's idempotency key; empty for a job without one.
	Key string `cbor:"4,keyasint,omitempty"`
	// Digest is a hash of the kind, the tasks and their bodies. It detects the reuse of a key with another body.
	Digest [16]byte `cbor:"5,keyasint"`
	// BudgetMillis is the time in milliseconds left until the deadline when the message was sent.
	BudgetMillis uint32     `cbor:"6,keyasint"`
	Tasks        []TaskSpec `cbor:"7,keyasint"`
}

// Outcome is the final outcome of a job or of one of its tasks.
type Outcome uint8

// Outcomes of a job or a task. OutcomeUnknown means that it may have run.
const (
	OutcomeComplete Outcome = 1
	OutcomeNotRun   Outcome = 2
	OutcomeUnknown  Outcome = 3
)

// TaskAnswer is the outcome of one task. In a failed job, Outcome alone is set.
type TaskAnswer struct {
	Outcome Outcome  `cbor:"1,keyasint"`
	Status  uint16   `cbor:"2,keyasint,omitempty"`
	Headers []Header `cbor:"3,keyasint,omitempty"`
	Body    []byte   `cbor:"4,keyasint,omitempty"`
}

// Answer is the answer to a job.
type Answer struct {
	Outcome Outcome `cbor:"1,keyasint"`
	// Reason is one of the Reason constants. It is empty when the job is complete.
	Reason  Reason `cbor:"2,keyasint,omitempty"`
	Message string `cbor:"3,keyasint,omitempty"`
	// RetryAfterMillis is the time after which a retry can succeed; 0 when a retry is pointless.
	RetryAfterMillis uint32       `cbor:"4,keyasint,omitempty"`
	Tasks            []TaskAnswer `cbor:"5,keyasint,omitempty"`
}

// Forward sends a request about a job to its home, or to the entry that holds its key.
type Forward struct {
	Request     uint64        `cbor:"1,keyasint"`
	ListVersion uint64        `cbor:"2,keyasint"`
	Action      ForwardAction `cbor:"3,keyasint"`
	Job         Job           `cbor:"4,keyasint"`
	// ForHeldKey is set when the sender has become the home of the key and the receiver still holds the job.
	ForHeldKey bool `cbor:"5,keyasint,omitempty"`
}

// ForwardAction is the operation that a Forward requests.
type ForwardAction uint8

// Actions of a Forward. With ForwardQuery and ForwardCancelJob, only the service and the key of the job are set.
const (
	ForwardSubmit    ForwardAction = 1
	ForwardQuery     ForwardAction = 2
	ForwardCancelJob ForwardAction = 3
)

// ForwardStatus is how the receiver handled a Forward.
type ForwardStatus uint8

// Statuses of ForwardReply.
const (
	ForwardAnswered ForwardStatus = 1 // Answer is final
	ForwardNotHome  ForwardStatus = 2 // nothing was started; List has the receiver's list of entries
	ForwardPending  ForwardStatus = 3 // answer to ForwardQuery: the job is running
	ForwardNotFound ForwardStatus = 4 // answer to ForwardQuery and ForwardCancelJob: the key is not known
	ForwardConflict ForwardStatus = 5 // the key was used with another body
)

// ForwardReply answers a Forward.
type ForwardReply struct {
	Request uint64        `cbor:"1,keyasint"`
	Status  ForwardStatus `cbor:"2,keyasint"`
	Answer  *Answer       `cbor:"3,keyasint,omitempty"`
	List    *EntryList    `cbor:"4,keyasint,omitempty"`
}
