package wire

import "time"

// Limits of a submission and of its answer. A request that exceeds a limit is refused with a 4xx status and has no other
// effect.
const (
	// MaxTasks is the largest number of tasks in a job.
	MaxTasks = 140
	// MaxTaskBody is the largest body of one task in bytes.
	MaxTaskBody = 256 << 10
	// MaxJobBody is the largest sum of the bodies of a job in bytes.
	MaxJobBody = 4 << 20
	// MaxKey is the longest idempotency key in bytes.
	MaxKey = 255
	// MaxHeaders is the largest header block of one task in bytes, names and values together.
	MaxHeaders = 16 << 10
	// MaxAnswerBody is the largest answer of an upstream to one task in bytes.
	MaxAnswerBody = 1 << 20
	// MaxJobAnswer is the largest sum of the answers of a job in bytes; with headers it fits a frame.
	MaxJobAnswer = 6 << 20
	// MaxDocument is the largest service document in bytes.
	MaxDocument = 256 << 10
	// MaxDeadline is the longest deadline that a caller can set.
	MaxDeadline = 60 * time.Second
	// RetentionSlack is the time for which records are kept beyond the retention window. A home counts the window from the
	// completion of the job, which can be up to MaxDeadline after the start of a task; 5 s cover the clock skew.
	RetentionSlack = MaxDeadline + 5*time.Second
)
