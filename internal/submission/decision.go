package submission

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Job identifies a running submission of one Table. It is never 0 and never reused.
type Job uint64

// Submission is a keyed job, reduced to what the table needs.
type Submission struct {
	Key    wire.KeyHash
	Digest [16]byte
	// Region is the home region of the service; empty if every entry can be the home.
	Region string
	// CreatedAt is the time of a UUIDv7 key (placement.KeyTime); zero for any other key.
	CreatedAt time.Time
	// Deadline bounds the time for which the submission can wait.
	Deadline time.Time
	// ListVersion is copied from the Forward; 0 when the caller is connected to this entry.
	ListVersion uint64
	// ForHeldKey is copied from Forward.ForHeldKey: the sender is the home of the key and this entry holds the key.
	ForHeldKey bool
}

// DecisionKind is the action that a Decision requires.
type DecisionKind uint8

// Values of DecisionKind.
const (
	// Run: start the tasks as Decision.Job and call Complete at the end.
	Run DecisionKind = 1
	// Join: the submission is already running as Decision.Job and gets the answer of that job.
	Join DecisionKind = 2
	// Stored: Decision.Answer is the stored answer.
	Stored DecisionKind = 3
	// Conflict: the key was used with another body; nothing was started (wire.ReasonKeyConflict).
	Conflict DecisionKind = 4
	// Wait: submit again when an event returns ResubmitWaiting, and no later than Decision.Until.
	Wait DecisionKind = 5
	// ForwardToHolder: forward to Decision.Holder with ForHeldKey set. If the holder does not know the key, call
	// HolderMissing and submit again.
	ForwardToHolder DecisionKind = 6
	// Refuse: Decision.Answer is the refusal.
	Refuse DecisionKind = 7
	// NotHome: this entry is not the home under its list, or the lists differ; nothing was started. Forward to the home
	// if the caller is connected to this entry, otherwise answer ForwardNotHome with the list.
	NotHome DecisionKind = 8
	// Missing: the key is not known here. It is returned for a Forward with ForHeldKey and by Lookup.
	Missing DecisionKind = 9
)

// Decision is what the caller has to do with a submission. Which fields besides Kind are set depends on Kind.
type Decision struct {
	Kind   DecisionKind
	Job    Job
	Answer *wire.Answer
	Until  time.Time
	Holder wire.Member
}

// refuse returns a refusal without task answers; the caller of the package adds them, because the table does not store
// the tasks.
func refuse(outcome wire.Outcome, reason wire.Reason, message string, retry time.Duration) Decision {
	return Decision{Kind: Refuse, Answer: &wire.Answer{
		Outcome: outcome, Reason: reason, Message: message, RetryAfterMillis: uint32(retry.Milliseconds()),
	}}
}

// retryAfterSilence returns the retry delay while an answer has been missing since the given time. The silence is
// expected to last as long again as it has lasted so far, within minRetryAfter and maxRetryAfter.
func retryAfterSilence(now, since time.Time) time.Duration {
	return min(max(now.Sub(since), minRetryAfter), maxRetryAfter)
}

func refuseRecovering(retry time.Duration) Decision {
	return refuse(wire.OutcomeUnknown, wire.ReasonRecovering, "the former home of this key is gone, and what it started is not known yet", retry)
}
