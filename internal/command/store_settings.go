package command

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/platform"
	"github.com/coltsfootspur/coltsfootspur/internal/settings"
)

// Bounds of the time for one call to the store.
const (
	minStoreTimeout = 50 * time.Millisecond
	maxStoreTimeout = time.Minute
)

// storeSettings are the settings of the platform's key-value service.
type storeSettings struct{ options platform.Options }

func (s *storeSettings) register(set *settings.Set) {
	set.String(&s.options.Address, "store", "http://127.0.0.1:8500", "base URL of the platform's key-value service", true)
	set.String(&s.options.Token, "store-token", "", "access token of the key-value service; empty for none", false)
	set.Duration(&s.options.CallTimeout, "store-timeout", platform.DefaultCallTimeout, minStoreTimeout, maxStoreTimeout,
		"longest wait for one answer of the key-value service")
}

// open returns the adapter. It makes no call. The error is platform.ErrRejected for an invalid address.
func (s *storeSettings) open() (*platform.Consul, error) { return platform.NewConsul(s.options) }
