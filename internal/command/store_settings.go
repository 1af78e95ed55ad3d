package command

import (
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/settings"
	"github.com/coltsfootspur/coltsfootspur/internal/store"
)

const defaultStoreURL = "http://127.0.0.1:8500"

// Bounds of the setting store-timeout.
const (
	minStoreTimeout = 50 * time.Millisecond
	maxStoreTimeout = time.Minute
)

// storeSettings holds the settings for access to the platform's key-value service.
type storeSettings struct{ options store.Options }

func (s *storeSettings) register(set *settings.Set) {
	set.Custom("store", defaultStoreURL, "base URL of the platform's key-value service", "http or https URL with a host",
		s.parseURL)
	set.String(&s.options.Token, "store-token", "", "access token of the key-value service; empty for none", false)
	set.Duration(&s.options.CallTimeout, "store-timeout", store.DefaultCallTimeout, minStoreTimeout, maxStoreTimeout,
		"longest wait for one answer of the key-value service")
}

func (s *storeSettings) parseURL(value string) error {
	base, err := url.Parse(value)
	if err != nil || base.Host == "" || (base.Scheme != "http" && base.Scheme != "https") {
		return eris.New("is not an allowed URL")
	}
	s.options.Address = value
	return nil
}

// open returns a client of the store without calling it. The error is store.ErrRejected for an invalid address.
func (s *storeSettings) open() (*store.Consul, error) { return store.NewConsul(s.options) }
