// Package wire defines the messages that the processes of the system send each other and their encoding.
//
// A frame is one byte of message type followed by a CBOR map with integer keys. Receivers ignore unknown keys, so a
// field can be added at any time. A key is never used again with another meaning.
package wire

import "time"

// ProtocolVersion is sent in Hello. A process refuses a peer with another major version.
const ProtocolVersion = 1

// KeyHash is the truncated SHA-256 hash of a service name and an idempotency key.
type KeyHash [16]byte

// Role tells what a process is.
type Role uint8

// Roles of a process.
const (
	RoleEntry Role = 1
	RoleAgent Role = 2
)

// MemberState is the state of an entry in the list of entries.
type MemberState uint8

// States of a member.
const (
	// MemberActive members can be the home of keys.
	MemberActive MemberState = 1
	// MemberLeaving members finish the jobs they hold and are the home of no key.
	MemberLeaving MemberState = 2
)

// Member is one entry in the list of entries. Incarnation differs between two runs of the same entry.
type Member struct {
	ID          string      `cbor:"1,keyasint" json:"id"`
	Incarnation uint64      `cbor:"2,keyasint" json:"incarnation"`
	Address     string      `cbor:"3,keyasint" json:"address"`
	DataCentre  string      `cbor:"4,keyasint" json:"data_centre"`
	Region      string      `cbor:"5,keyasint" json:"region"`
	State       MemberState `cbor:"6,keyasint" json:"state"`
}

// Departed is an entry that was removed from the list. Clean is true when it handed its table over before.
type Departed struct {
	ID          string    `cbor:"1,keyasint" json:"id"`
	Incarnation uint64    `cbor:"2,keyasint" json:"incarnation"`
	Clean       bool      `cbor:"3,keyasint" json:"clean"`
	AtVersion   uint64    `cbor:"4,keyasint" json:"at_version"`
	At          time.Time `cbor:"5,keyasint" json:"at"`
}

// EntryList is the versioned list of entries. A higher version replaces a lower one as a whole.
type EntryList struct {
	Version  uint64     `cbor:"1,keyasint" json:"version"`
	Members  []Member   `cbor:"2,keyasint" json:"members"`
	Departed []Departed `cbor:"3,keyasint,omitempty" json:"departed,omitempty"`
	// Stopped are statements of members that stopped without the store. They are no part of the list in the store.
	Stopped []Stopped `cbor:"4,keyasint,omitempty" json:"-"`
}

// Stopped is the statement of a member that stops without a change of the list: this incarnation takes no new key,
// under any list, and never will. Only the member itself makes it.
type Stopped struct {
	ID          string `cbor:"1,keyasint" json:"id"`
	Incarnation uint64 `cbor:"2,keyasint" json:"incarnation"`
	// Done is set when the member runs nothing more and its whole table was confirmed by the new homes under the list
	// of ListVersion. At is the time of that.
	Done        bool      `cbor:"3,keyasint,omitempty" json:"done"`
	ListVersion uint64    `cbor:"4,keyasint,omitempty" json:"list_version"`
	At          time.Time `cbor:"5,keyasint" json:"at"`
}

// Hello is the first message of the dialling side.
type Hello struct {
	Protocol    uint8     `cbor:"1,keyasint"`
	Role        Role      `cbor:"2,keyasint"`
	ID          string    `cbor:"3,keyasint"`
	Incarnation uint64    `cbor:"4,keyasint"`
	DataCentre  string    `cbor:"5,keyasint"`
	Region      string    `cbor:"6,keyasint"`
	StartedAt   time.Time `cbor:"7,keyasint"`
	// Services, Slots and Leaving are set by agents only.
	Services []string `cbor:"8,keyasint,omitempty"`
	Slots    uint16   `cbor:"9,keyasint,omitempty"`
	Leaving  bool     `cbor:"10,keyasint,omitempty"`
	// ListVersion is the version of the list of entries that the sender has.
	ListVersion uint64 `cbor:"11,keyasint"`
	// DocumentRevisions maps a service to the revision that the sender has.
	DocumentRevisions map[string]uint64 `cbor:"12,keyasint,omitempty"`
	// MemoryMB and Accelerators are what the agent's worker offers.
	MemoryMB     uint32 `cbor:"13,keyasint,omitempty"`
	Accelerators uint16 `cbor:"14,keyasint,omitempty"`
}

// Welcome is the answer to Hello. A non-empty Refused tells why the link is closed.
type Welcome struct {
	Protocol          uint8             `cbor:"1,keyasint"`
	ID                string            `cbor:"2,keyasint"`
	Incarnation       uint64            `cbor:"3,keyasint"`
	DataCentre        string            `cbor:"4,keyasint"`
	Region            string            `cbor:"5,keyasint"`
	HeartbeatMillis   uint32            `cbor:"6,keyasint"`
	List              *EntryList        `cbor:"7,keyasint,omitempty"`
	DocumentRevisions map[string]uint64 `cbor:"8,keyasint,omitempty"`
	Refused           string            `cbor:"9,keyasint,omitempty"`
}

// Ping asks the peer to prove that it is reachable. It is sent on an idle link only.
type Ping struct {
	Sequence       uint64 `cbor:"1,keyasint"`
	ListVersion    uint64 `cbor:"2,keyasint,omitempty"`
	DocumentDigest uint64 `cbor:"3,keyasint,omitempty"`
}

// Pong answers the Ping with the same sequence number.
type Pong struct {
	Sequence       uint64 `cbor:"1,keyasint"`
	ListVersion    uint64 `cbor:"2,keyasint,omitempty"`
	DocumentDigest uint64 `cbor:"3,keyasint,omitempty"`
	// HeartbeatMillis is the interval that the sender asks for now; 0 keeps the former one.
	HeartbeatMillis uint32 `cbor:"4,keyasint,omitempty"`
}

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
	// ListVersion is the list under which the home starts the task; 0 for a job without a caller's key.
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
	// BudgetMillis is the time left until the deadline when the message was sent.
	BudgetMillis uint32 `cbor:"14,keyasint"`
	Urgent       bool   `cbor:"15,keyasint,omitempty"`
	Idempotent   bool   `cbor:"16,keyasint,omitempty"`
	// Long marks work that may hold only the slots that are not kept for short work.
	Long bool `cbor:"17,keyasint,omitempty"`
	// Retry is set when the home knows that every former attempt of this task is over. An agent with a record of
	// a former attempt starts the task again only if Retry and Idempotent are set and the recorded attempt is over.
	Retry bool `cbor:"18,keyasint,omitempty"`
	// DocumentRevision is the revision that the home used; an agent with a lower one pulls before it runs the task.
	DocumentRevision uint64 `cbor:"19,keyasint,omitempty"`
	// Digest is that of the job, so that recovery from start records still detects the reuse of a key. Zero is not
	// compared.
	Digest [16]byte `cbor:"20,keyasint"`
	// Expires is the deadline of the job by the clock of the home. An agent that reads the message long after it, for
	// example because it was paused, does not run the task. The zero time is not checked.
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
	AttemptRefused   AttemptState = 4 // not started; Reason tells why
	AttemptUnknown   AttemptState = 5 // started, and the upstream's answer was lost or timed out
	AttemptNeverSeen AttemptState = 6 // not started, and recorded as refused
)

// RefusalReason tells why an agent did not start an attempt.
type RefusalReason uint8

// Reasons of an agent.
const (
	RefusedNone      RefusalReason = 0
	RefusedBusy      RefusalReason = 1 // no slot and no place in the agent's queue
	RefusedLeaving   RefusalReason = 2
	RefusedStaleList RefusalReason = 3 // the start carries an older list; Result.List has the agent's
	RefusedFenced    RefusalReason = 4 // the home is not a member of the agent's list
	RefusedCancelled RefusalReason = 5
	RefusedExpired   RefusalReason = 6  // the deadline passed before a slot was free
	RefusedDuplicate RefusalReason = 7  // a record of the same task exists; Result.Recorded has its state
	RefusedInvalid   RefusalReason = 8  // the agent does not serve this service
	RefusedFull      RefusalReason = 9  // the table of start records is full
	RefusedDown      RefusalReason = 10 // the upstream refused the connection, so nothing was sent to it
)

// Load is what an agent reports with each result.
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
	// QueuedMicros and ServiceMicros are the times spent waiting at the agent and at the upstream.
	QueuedMicros  uint32 `cbor:"7,keyasint,omitempty"`
	ServiceMicros uint32 `cbor:"8,keyasint,omitempty"`
	Load          Load   `cbor:"9,keyasint"`
	// Recorded is set with RefusedDuplicate: the state of the recorded attempt, with its answer if it was kept.
	Recorded AttemptState `cbor:"10,keyasint,omitempty"`
	// List is set with RefusedStaleList and RefusedFenced.
	List *EntryList `cbor:"11,keyasint,omitempty"`
	// Error describes why the state is AttemptUnknown, for people.
	Error string `cbor:"12,keyasint,omitempty"`
}

// Cancel asks an agent not to start the attempts that have not started.
type Cancel struct {
	Attempts []uint64 `cbor:"1,keyasint"`
}

// Query asks for the state of attempts of the sending home's incarnation.
type Query struct {
	Attempts []uint64 `cbor:"1,keyasint"`
}

// QueryReply lists the attempts that have no result yet. A Result is sent for each of the others, with
// AttemptNeverSeen for those the agent has no record of.
type QueryReply struct {
	Queued  []uint64 `cbor:"1,keyasint,omitempty"`
	Running []uint64 `cbor:"2,keyasint,omitempty"`
}

// Leaving tells that the sender accepts no new work.
type Leaving struct{}

// Collect asks an agent to adopt List and to send its start records of an expelled entry that now belong to the sender.
// It is also used for an entry that left clean before the expulsion of another one, which may have taken its answers.
type Collect struct {
	List                *EntryList `cbor:"1,keyasint"`
	Expelled            string     `cbor:"2,keyasint"`
	ExpelledIncarnation uint64     `cbor:"3,keyasint"`
	// Round numbers the searches of the sender. It is returned with the records.
	Round uint64 `cbor:"4,keyasint,omitempty"`
}

// TaskRecord is what an agent knows about one task.
type TaskRecord struct {
	Task    uint16       `cbor:"1,keyasint"`
	State   AttemptState `cbor:"2,keyasint"`
	Status  uint16       `cbor:"3,keyasint,omitempty"`
	Headers []Header     `cbor:"4,keyasint,omitempty"`
	Body    []byte       `cbor:"5,keyasint,omitempty"`
	// Dropped is set when the answer was not kept because the byte budget was exceeded.
	Dropped bool `cbor:"6,keyasint,omitempty"`
}

// KeyRecord groups the records of one submission.
type KeyRecord struct {
	Key   KeyHash      `cbor:"1,keyasint"`
	Tasks uint16       `cbor:"2,keyasint"`
	Done  []TaskRecord `cbor:"3,keyasint"`
	// Digest is that of the Start.
	Digest [16]byte `cbor:"4,keyasint"`
}

// Records answers Collect, in one or more parts; Last is set in the final part. Parts of several answers can arrive
// interleaved.
type Records struct {
	Expelled            string      `cbor:"1,keyasint"`
	ExpelledIncarnation uint64      `cbor:"2,keyasint"`
	ListVersion         uint64      `cbor:"3,keyasint"`
	Keys                []KeyRecord `cbor:"4,keyasint,omitempty"`
	Last                bool        `cbor:"5,keyasint,omitempty"`
	// Answer numbers the answers of one run of the agent, and Part the parts of an answer from 0.
	Answer uint64 `cbor:"6,keyasint,omitempty"`
	Part   uint16 `cbor:"7,keyasint,omitempty"`
	// Expired is set when a task that an earlier answer listed as queued or running may have started although this
	// answer does not list it: its record has expired or was replaced by one of another home.
	Expired bool `cbor:"8,keyasint,omitempty"`
	// Round is that of the Collect.
	Round uint64 `cbor:"9,keyasint,omitempty"`
}

// TaskSpec is one task of a job as the caller sent it.
type TaskSpec struct {
	Path    string   `cbor:"1,keyasint,omitempty"`
	Headers []Header `cbor:"2,keyasint,omitempty"`
	Body    []byte   `cbor:"3,keyasint,omitempty"`
}

// Job is a submission as it travels to its home.
type Job struct {
	Service string `cbor:"1,keyasint"`
	Kind    string `cbor:"2,keyasint"`
	Team    string `cbor:"3,keyasint,omitempty"`
	// Key is the caller's idempotency key; empty for a job without one.
	Key string `cbor:"4,keyasint,omitempty"`
	// Digest is a hash of kind, tasks and their bodies, to detect the reuse of a key.
	Digest       [16]byte   `cbor:"5,keyasint"`
	BudgetMillis uint32     `cbor:"6,keyasint"`
	Tasks        []TaskSpec `cbor:"7,keyasint"`
}

// Outcome is the final outcome of a job or of one of its tasks.
type Outcome uint8

// Outcomes.
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
	// Reason is one of the Reason constants; empty when the job is complete.
	Reason  Reason `cbor:"2,keyasint,omitempty"`
	Message string `cbor:"3,keyasint,omitempty"`
	// RetryAfterMillis is 0 when a repetition makes no sense.
	RetryAfterMillis uint32       `cbor:"4,keyasint,omitempty"`
	Tasks            []TaskAnswer `cbor:"5,keyasint,omitempty"`
}

// Forward passes a job to its home. Action tells what is asked for.
type Forward struct {
	Request     uint64        `cbor:"1,keyasint"`
	ListVersion uint64        `cbor:"2,keyasint"`
	Action      ForwardAction `cbor:"3,keyasint"`
	Job         Job           `cbor:"4,keyasint"`
	// Held is set when the sender is the home of an inherited key and the receiver holds it.
	Held bool `cbor:"5,keyasint,omitempty"`
}

// ForwardAction is what a Forward asks for.
type ForwardAction uint8

// Actions of Forward. ForwardState and ForwardCancelJob carry a job with service and key only.
const (
	ForwardSubmit    ForwardAction = 1
	ForwardState     ForwardAction = 2
	ForwardCancelJob ForwardAction = 3
)

// ForwardStatus tells how the receiver took a Forward.
type ForwardStatus uint8

// Statuses of ForwardReply.
const (
	ForwardAnswered ForwardStatus = 1 // Answer is final
	ForwardNotHome  ForwardStatus = 2 // nothing was started; List has the receiver's list
	ForwardPending  ForwardStatus = 3 // answer to ForwardState: the job is running
	ForwardNotFound ForwardStatus = 4 // answer to ForwardState and ForwardCancelJob: the key is not known
	ForwardConflict ForwardStatus = 5 // the key was used with another body
)

// ForwardReply answers a Forward.
type ForwardReply struct {
	Request uint64        `cbor:"1,keyasint"`
	Status  ForwardStatus `cbor:"2,keyasint"`
	Answer  *Answer       `cbor:"3,keyasint,omitempty"`
	List    *EntryList    `cbor:"4,keyasint,omitempty"`
}

// Inherit asks a member to adopt List and to name the keys of its table that now belong to the sender.
type Inherit struct {
	List *EntryList `cbor:"1,keyasint"`
	// Round numbers the searches of the sender. It is returned with the answer.
	Round uint64 `cbor:"2,keyasint,omitempty"`
}

// Inherited answers Inherit in one or more parts.
type Inherited struct {
	ListVersion uint64    `cbor:"1,keyasint"`
	Keys        []KeyHash `cbor:"2,keyasint,omitempty"`
	Last        bool      `cbor:"3,keyasint,omitempty"`
	// Round is that of the Inherit.
	Round uint64 `cbor:"4,keyasint,omitempty"`
}

// HandoverItem is one finished submission.
type HandoverItem struct {
	Key     KeyHash   `cbor:"1,keyasint"`
	Digest  [16]byte  `cbor:"2,keyasint"`
	Expires time.Time `cbor:"3,keyasint"`
	// Answer is nil when only the marker is left.
	Answer *Answer `cbor:"4,keyasint,omitempty"`
}

// Handover passes finished submissions of a leaving entry to their new home.
type Handover struct {
	Sequence    uint64         `cbor:"1,keyasint"`
	ListVersion uint64         `cbor:"2,keyasint"`
	Items       []HandoverItem `cbor:"3,keyasint"`
	Last        bool           `cbor:"4,keyasint,omitempty"`
}

// HandoverAck confirms a Handover.
type HandoverAck struct {
	Sequence uint64 `cbor:"1,keyasint"`
}

// DocumentPush passes one revision of a service document. Body is empty for a deleted service.
type DocumentPush struct {
	Service  string    `cbor:"1,keyasint"`
	Revision uint64    `cbor:"2,keyasint"`
	EditID   string    `cbor:"3,keyasint,omitempty"`
	Author   string    `cbor:"4,keyasint,omitempty"`
	At       time.Time `cbor:"5,keyasint"`
	Deleted  bool      `cbor:"6,keyasint,omitempty"`
	Body     []byte    `cbor:"7,keyasint,omitempty"`
}

// DocumentNotice tells another entry about a new revision, which it pulls if it does not have it. All entries see most
// revisions in the store themselves, so passing each document to each of them would be waste.
type DocumentNotice struct {
	Service  string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	EditID   string `cbor:"3,keyasint,omitempty"`
}

// DocumentPull asks for every document newer than the listed revisions. Services limits the answer; without it all
// services count.
type DocumentPull struct {
	Revisions map[string]uint64 `cbor:"1,keyasint,omitempty"`
	Services  []string          `cbor:"2,keyasint,omitempty"`
}

// TeamUsage is the work that one entry admitted for one team.
type TeamUsage struct {
	Team     string `cbor:"1,keyasint"`
	Admitted uint32 `cbor:"2,keyasint"`
	Wanted   uint32 `cbor:"3,keyasint"`
	Running  uint32 `cbor:"4,keyasint,omitempty"`
}

// QuotaUsage lists usage per team in the interval since the last report.
type QuotaUsage struct {
	IntervalMillis uint32      `cbor:"1,keyasint"`
	Teams          []TeamUsage `cbor:"2,keyasint,omitempty"`
}

// AgentPresence is one agent as an entry saw it.
type AgentPresence struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Gone is set when the agent left after a graceful shutdown or was replaced by another incarnation.
	Gone bool `cbor:"3,keyasint,omitempty"`
	// SilentMillis is the time since the sender knew the agent to be connected, or since it learned that the agent is
	// gone; 0 for an agent that is connected to the sender.
	SilentMillis uint32 `cbor:"4,keyasint,omitempty"`
	// StartedAt orders the incarnations of one agent.
	StartedAt time.Time `cbor:"5,keyasint"`
}

// AgentRoster tells another entry which agents connected or left. Full is set for the whole set on a new link.
type AgentRoster struct {
	Agents []AgentPresence `cbor:"1,keyasint,omitempty"`
	Full   bool            `cbor:"2,keyasint,omitempty"`
	// Heard is set with Full: the incarnations of the entries whose whole roster is part of this one.
	Heard []uint64 `cbor:"3,keyasint,omitempty"`
}

// String names the reason in metrics and logs.
func (r RefusalReason) String() string {
	if int(r) < len(refusalNames) && refusalNames[r] != "" {
		return refusalNames[r]
	}
	return "other"
}

var refusalNames = [...]string{
	RefusedNone: "none", RefusedBusy: "busy", RefusedLeaving: "leaving", RefusedStaleList: "stale_list",
	RefusedFenced: "fenced", RefusedCancelled: "cancelled", RefusedExpired: "expired", RefusedDuplicate: "duplicate",
	RefusedInvalid: "invalid", RefusedFull: "full", RefusedDown: "down",
}
