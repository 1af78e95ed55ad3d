package document

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/pattern"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Limits of the values of the fields in a document.
const (
	maxKinds     = 64
	maxUpstreams = 2000
	// maxCallerTokens allows two tokens per caller, the current and the next one, while the tokens are rotated.
	maxCallerTokens = 32
	maxSlots        = 1024
	maxConnections  = 4096
	maxQuota        = 1_000_000
	maxMemoryMB     = 16 << 20
	maxAccelerators = 1024
	minDeadline     = 10 * time.Millisecond
	minProbeAfter   = 100 * time.Millisecond
	maxProbeAfter   = 10 * time.Minute
)

// Rules for the values of text fields.
var (
	nameRule = textRule{
		pattern.New(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`),
		"1 to 63 letters, digits, '.', '_' and '-', beginning with a letter or digit",
	}
	// labelRule is for regions, data centres and ids of upstreams, which may contain blanks and non-ASCII letters.
	labelRule = textRule{
		pattern.New(`^[\p{L}\p{N}][\p{L}\p{N}\p{M} ._:/-]{0,99}$`),
		"1 to 100 letters, digits, blanks, '.', '_', ':', '/' and '-', beginning with a letter or digit",
	}
	pathRule = textRule{
		pattern.New(`^/[!"$-~]{0,999}$`),
		"path of up to 1000 bytes that begins with '/', without blanks and '#'",
	}
	tokenDigestRule = textRule{pattern.New(`^[0-9a-f]{64}$`), "SHA-256 of a token as 64 lower-case hexadecimal digits"}
	methodRule      = textRule{
		pattern.New(`^(GET|HEAD|POST|PUT|PATCH|DELETE)$`),
		"GET, HEAD, POST, PUT, PATCH or DELETE",
	}
)

// serviceFields is the schema of a document. TestFieldsAreDocumented compares it with the operators' documentation.
var serviceFields = []field[Service]{
	{name: "service", required: true, meaning: "name of the service; callers use it in URLs", value: text(nameRule, func(s *Service) *string { return &s.Name })},
	{name: "team", required: true, meaning: "team that owns the document", value: text(nameRule, func(s *Service) *string { return &s.Team })},
	{name: "kinds", required: true, meaning: "kinds of request", value: objectList(kindFields, 1, maxKinds, func(s *Service) *[]Kind { return &s.Kinds })},
	{name: "caller_tokens", defaultNote: "what the settings of the entries ask for", meaning: "SHA-256 of each bearer token that callers of this service may use", value: textList(tokenDigestRule, maxCallerTokens, func(s *Service) *[]string { return &s.CallerTokens })},
	{name: "upstreams", meaning: "upstreams that may serve the service: those listed by id or by data centre", defaultNote: "every upstream that announces the service", value: object(upstreamFields, func(s *Service) *Upstreams { return &s.Upstreams })},
	{name: "slots", unit: "tasks", defaultText: "0", defaultNote: "what the agent announces", meaning: "tasks at a time on each upstream, at most what its agent announces", value: integer(0, maxSlots, func(s *Service) *int { return &s.Slots })},
	{name: "connections", unit: "connections", defaultText: "64", meaning: "largest number of connections from an agent to its upstream", value: integer(1, maxConnections, func(s *Service) *int { return &s.Connections })},
	{name: "home_region", defaultNote: "every region", meaning: "region whose entries decide about jobs with an idempotency key; the first revision sets it for good", value: text(labelRule, func(s *Service) *string { return &s.HomeRegion })},
	{name: "quota", defaultNote: "off", meaning: "optional guard: limit for the callers of the team", value: optionalObject(quotaFields, func(s *Service) **Quota { return &s.Quota })},
	{name: "retries", defaultNote: "off", meaning: "optional guard: further starts of idempotent tasks whose attempt is over without an answer", value: optionalObject(retryFields, func(s *Service) **Retries { return &s.Retries })},
	{name: "ejection", defaultNote: "off", meaning: "optional guard: no work for upstreams that fail far more often than their peers", value: optionalObject(ejectionFields, func(s *Service) **Ejection { return &s.Ejection })},
	{name: "hedging", defaultNote: "off", meaning: "optional guard: a second copy of idempotent tasks that take unusually long", value: optionalObject(hedgingFields, func(s *Service) **Hedging { return &s.Hedging })},
	{name: "short_slots", unit: "slots", defaultNote: "a quarter of the slots, at least 1 of 2 or more", meaning: "slots of each upstream that long tasks may not hold", value: optionalInteger(0, maxSlots, func(s *Service) **int { return &s.ShortSlots })},
	{name: "deadline", unit: "duration", defaultText: "30s", meaning: "time allowed for a job when neither caller nor kind sets one", value: duration(minDeadline, wire.MaxDeadline, func(s *Service) *time.Duration { return &s.Deadline })},
	{name: "max_body", unit: "bytes", defaultText: "262144", meaning: "largest body of one task", value: integer(0, wire.MaxTaskBody, func(s *Service) *int { return &s.MaxBody })},
}

var kindFields = []field[Kind]{
	{name: "name", required: true, meaning: "name of the kind", value: text(nameRule, func(k *Kind) *string { return &k.Name })},
	{name: "urgent", defaultText: "false", meaning: "whether these requests are served before all others", value: boolean(func(k *Kind) *bool { return &k.Urgent })},
	{name: "idempotent", defaultText: "false", meaning: "whether running a request twice does no harm; false keeps it from ever being started twice", value: boolean(func(k *Kind) *bool { return &k.Idempotent })},
	{name: "deadline", unit: "duration", defaultNote: "the service's deadline", meaning: "time allowed for a job when the caller sets none", value: duration(minDeadline, wire.MaxDeadline, func(k *Kind) *time.Duration { return &k.Deadline })},
	{name: "method", defaultText: "POST", meaning: "HTTP method of the call to the upstream", value: text(methodRule, func(k *Kind) *string { return &k.Method })},
	{name: "path", defaultText: "/", meaning: "path of the call to the upstream", value: text(pathRule, func(k *Kind) *string { return &k.Path })},
	{name: "long", defaultText: "false", meaning: "whether these requests are known to be long", value: boolean(func(k *Kind) *bool { return &k.Long })},
	{name: "requires", defaultNote: "nothing", meaning: "what a worker has to offer", value: object(requiresFields, func(k *Kind) *Requires { return &k.Requires })},
}

var requiresFields = []field[Requires]{
	{name: "memory_mb", unit: "MB", defaultText: "0", meaning: "memory", value: integer(0, maxMemoryMB, func(r *Requires) *int { return &r.MemoryMB })},
	{name: "accelerators", unit: "devices", defaultText: "0", meaning: "accelerators", value: integer(0, maxAccelerators, func(r *Requires) *int { return &r.Accelerators })},
}

var upstreamFields = []field[Upstreams]{
	{name: "ids", defaultNote: "none", meaning: "allowed upstreams by id", value: textList(labelRule, maxUpstreams, func(u *Upstreams) *[]string { return &u.IDs })},
	{name: "data_centres", defaultNote: "none", meaning: "allowed upstreams by data centre", value: textList(labelRule, maxUpstreams, func(u *Upstreams) *[]string { return &u.DataCentres })},
}

var quotaFields = []field[Quota]{
	{name: "rate", required: true, unit: "tasks per second", meaning: "sustained rate of tasks", value: number(0.001, maxQuota, func(q *Quota) *float64 { return &q.Rate })},
	{name: "burst", unit: "tasks", defaultText: "140", meaning: "tasks that may start at once above the rate; the default lets the largest job pass", value: integer(1, maxQuota, func(q *Quota) *int { return &q.Burst })},
	{name: "running", unit: "tasks", defaultText: "0", defaultNote: "no limit", meaning: "tasks in progress at a time", value: integer(0, maxQuota, func(q *Quota) *int { return &q.MaxRunning })},
}

var retryFields = []field[Retries]{
	{name: "budget", unit: "share", defaultText: "0.1", meaning: "largest share of retries among first attempts of a team", value: number(0.001, 1, func(r *Retries) *float64 { return &r.Budget })},
}

var ejectionFields = []field[Ejection]{
	{name: "max_share", unit: "share", defaultText: "0.2", meaning: "largest share of upstreams that may be ejected at a time", value: number(0.01, 0.5, func(e *Ejection) *float64 { return &e.MaxShare })},
	{name: "margin", unit: "share", defaultText: "0.3", meaning: "how far the error rate has to be above the median of the peers", value: number(0.05, 1, func(e *Ejection) *float64 { return &e.Margin })},
	{name: "probe_after", unit: "duration", defaultText: "5s", meaning: "time until an ejected upstream gets work again as a probe", value: duration(minProbeAfter, maxProbeAfter, func(e *Ejection) *time.Duration { return &e.ProbeAfter })},
}

var hedgingFields = []field[Hedging]{
	{name: "quantile", unit: "share", defaultText: "0.95", meaning: "quantile of the learned times after which a second copy is started", value: number(0.5, 0.999, func(h *Hedging) *float64 { return &h.Quantile })},
	{name: "budget", unit: "share", defaultText: "0.02", meaning: "largest share of copies among first attempts", value: number(0.001, 0.5, func(h *Hedging) *float64 { return &h.Budget })},
}
