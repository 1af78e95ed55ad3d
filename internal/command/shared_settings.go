package command

import (
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/coltsfootspur/coltsfootspur/internal/pattern"
	"github.com/coltsfootspur/coltsfootspur/internal/settings"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Bounds of the settings that entries and agents share.
const (
	// minRetention covers a submission and its repetition after the deadline.
	minRetention = 2 * wire.MaxDeadline
	maxRetention = 24 * time.Hour
	// defaultStopTimeout is longer than the longest deadline of a job (60 s) plus the handover.
	defaultStopTimeout = 75 * time.Second
	minStopTimeout     = 100 * time.Millisecond
	maxStopTimeout     = 10 * time.Minute
)

// Patterns of names. The id of an entry is part of keys in the store and of issued idempotency keys. Ids of upstreams and
// names of data centres appear in service documents, so they follow the same rule as there.
var (
	entryIDPattern      = pattern.New(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	topologyNamePattern = pattern.New(`^[\p{L}\p{N}][\p{L}\p{N}\p{M} ._:/-]{0,99}$`)
)

const (
	entryIDRule      = "1 to 63 letters, digits, '.', '_' and '-', beginning with a letter or digit"
	topologyNameRule = "1 to 100 letters, digits, blanks, '.', '_', ':', '/' and '-', beginning with a letter or digit"
)

// sharedSettings points to the settings that entries and agents share.
type sharedSettings struct {
	dataCentre, region, linkToken, adminAddress, adminToken *string
	retention, stopTimeout                                  *time.Duration
}

// register adds the settings and their rules.
func (p sharedSettings) register(set *settings.Set, defaultRetention time.Duration) {
	set.Name(p.dataCentre, "data-centre", "data centre of this host", topologyNamePattern, topologyNameRule)
	set.String(p.region, "region", "", "region of this host; empty in a deployment with one region", false)
	set.String(p.linkToken, "link-token", "", "token by which processes of the system authenticate to each other", true)
	set.ListenAddress(p.adminAddress, "admin-address", "", "host:port of the operator endpoints; empty turns them off", false)
	set.String(p.adminToken, "admin-token", "", "bearer token of the operator endpoints", false)
	set.Duration(p.retention, "retention", defaultRetention, minRetention, maxRetention,
		"how long submissions and start records are kept; the same for all processes, at least twice the longest deadline")
	set.Duration(p.stopTimeout, "stop-timeout", defaultStopTimeout, minStopTimeout, maxStopTimeout,
		"longest wait of a graceful shutdown")
	set.AddRule(settings.Rule{
		Names:      []string{"admin-address", "admin-token"},
		IsViolated: func() bool { return *p.adminAddress != "" && *p.adminToken == "" },
		Problem:    "operator endpoints need a token; set admin-token, or leave admin-address empty",
	})
	set.AddRule(settings.Rule{
		Names:      []string{"stop-timeout"},
		IsViolated: func() bool { return *p.stopTimeout < wire.MaxDeadline },
		Problem:    fmt.Sprintf("a stop can cut off requests in progress, whose deadline is up to %s", wire.MaxDeadline),
		WarnOnly:   true,
	})
}

// logWarnings logs the warnings of the settings, each after the prefix of the role.
func logWarnings(logger log.Interface, prefix string, set *settings.Set) {
	for _, text := range set.Warnings() {
		logger.Warn(prefix + ": setting " + text)
	}
}
