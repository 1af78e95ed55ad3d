package wire

// Reason is the machine-readable reason of a refusal or failure in answers to callers.
type Reason string

// Reasons that come with outcome not_run.
const (
	ReasonInvalidRequest  Reason = "invalid_request"
	ReasonTooLarge        Reason = "too_large"
	ReasonNoService       Reason = "no_service"
	ReasonNoKind          Reason = "no_kind"
	ReasonNoUpstream      Reason = "no_upstream"
	ReasonOverloaded      Reason = "overloaded"
	ReasonDeadline        Reason = "deadline"
	ReasonQuota           Reason = "quota"
	ReasonTableFull       Reason = "table_full"
	ReasonStopping        Reason = "stopping"
	ReasonCancelled       Reason = "cancelled"
	ReasonUpstreamRefused Reason = "upstream_refused"
	ReasonUnauthorized    Reason = "unauthorized"
)

// Reasons that come with outcome unknown.
const (
	ReasonHomeUnreachable Reason = "home_unreachable"
	ReasonRecovering      Reason = "recovering"
	ReasonKeyExpired      Reason = "key_expired"
	ReasonAnswerExpired   Reason = "answer_expired"
	ReasonUpstreamLost    Reason = "upstream_lost"
	ReasonUpstreamTimeout Reason = "upstream_timeout"
	ReasonExpelled        Reason = "expelled"
	ReasonAnswerTooLarge  Reason = "answer_too_large"
)

// ReasonKeyConflict comes with outcome not_run: the key was used with another body, and this body was not run.
const ReasonKeyConflict Reason = "key_conflict"
