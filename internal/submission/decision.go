package submission

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Job identifies a running submission of one Table. It is never 0 and never used again.
type Job uint64

// Submission is a keyed job as the table needs it.
type Submission struct {
	Key    wire.KeyHash
	Digest [16]byte
	// Region is the home region of the service; empty if every entry can be the home.
	Region string
	// CreatedAt is the time of a UUIDv7 key (placement.KeyTime); zero for any other key.
	CreatedAt time.Time
	// Deadline bounds the time that the submission can wait.
	Deadline time.Time
	// ListVersion is that of the Forward; 0 when the caller is connected to this entry.
	ListVersion uint64
	// Held is that of the Forward: the sender is the home and this entry holds the key.
	Held bool
}

// Kind is what to do with a submission.
type Kind uint8

// Kinds of Decision.
const (
	// Run: start the tasks as Decision.Job and call Complete at the end.
	Run Kind = 1
	// Join: the submission runs as Decision.Job; its answer is that of the job.
	Join Kind = 2
	// Stored: Decision.Answer is the answer.
	Stored Kind = 3
	// Conflict: the key was used with another body; nothing was run (wire.ReasonKeyConflict).
	Conflict Kind = 4
	// Wait: submit again when an event returns Recheck, and at Decision.Until at the latest.
	Wait Kind = 5
	// PassOn: forward with Held to Decision.Holder. If it answers not found, call HolderMissing and submit again.
	PassOn Kind = 6
	// Refuse: Decision.Answer is the refusal.
	Refuse Kind = 7
	// NotHome: this entry is not the home under its list, or the lists differ; nothing was started. Forward to the
	// home if the caller is connected here, else answer ForwardNotHome with the list.
	NotHome Kind = 8
	// Missing: the key is not known here. It is returned to a Forward with Held and by Lookup.
	Missing Kind = 9
)

// Decision is the answer of the table to a submission.
type Decision struct {
	Kind   Kind
	Job    Job
	Answer *wire.Answer
	Until  time.Time
	Holder wire.Member
}

// refuse returns a refusal without a list of tasks; the caller of the package knows the tasks.
func refuse(outcome wire.Outcome, reason wire.Reason, message string, retry time.Duration) Decision {
	return Decision{Kind: Refuse, Answer: &wire.Answer{
		Outcome: outcome, Reason: reason, Message: message, RetryAfterMillis: uint32(retry.Milliseconds()),
	}}
}

// retryAfterSilence returns the advice to callers while an answer is missing since the given time: the silence is
// expected to last as long again as it has lasted.
func retryAfterSilence(now, since time.Time) time.Duration {
	return min(max(now.Sub(since), retryShort), retryLong)
}

func recovering(retry time.Duration) Decision {
	return refuse(wire.OutcomeUnknown, wire.ReasonRecovering, "the former home of this key is gone, and what it started is not known yet", retry)
}
