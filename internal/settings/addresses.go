package settings

import (
	"net"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/pattern"
)

// List adds a setting with a list of texts that are separated by commas.
func (s *Set) List(target *[]string, name, defaultValue, usage string) {
	s.addList(target, name, defaultValue, usage, "texts separated by commas", nil)
}

// RequiredList adds a setting with a list of at least one text, separated by commas.
func (s *Set) RequiredList(target *[]string, name, usage string) {
	s.addList(target, name, "", usage, "at least one text, separated by commas", func(items []string) error {
		if len(items) == 0 {
			return eris.New("is not set")
		}
		return nil
	})
}

// Addresses adds a setting with a list of host:port addresses of other processes. If it is required, it must have at least
// one.
func (s *Set) Addresses(target *[]string, name, usage string, required bool) {
	allowed := "host:port addresses separated by commas"
	if required {
		allowed = "at least one host:port address, separated by commas"
	}
	s.addList(target, name, "", usage, allowed, func(items []string) error {
		if required && len(items) == 0 {
			return eris.New("is not set")
		}
		for _, item := range items {
			if err := checkReachable(item); err != nil {
				return err
			}
		}
		return nil
	})
}

// addList adds a setting with a list of texts that check validates. A nil check accepts any list.
func (s *Set) addList(target *[]string, name, defaultValue, usage, allowed string, check func([]string) error) {
	s.Custom(name, defaultValue, usage, allowed, func(value string) error {
		var items []string
		for item := range strings.SplitSeq(value, ",") {
			if item = strings.TrimSpace(item); item != "" {
				items = append(items, item)
			}
		}
		if check != nil {
			if err := check(items); err != nil {
				return err
			}
		}
		*target = items
		return nil
	})
}

// ListenAddress adds the host:port on which the process listens. An empty host means all addresses of the host, and port 0
// a free port. The setting may be empty unless it is required.
func (s *Set) ListenAddress(target *string, name, defaultValue, usage string, required bool) {
	s.addAddress(target, name, defaultValue, usage, required, checkAddress)
}

// Address adds the host:port to which other processes connect. The setting may be empty unless it is required.
func (s *Set) Address(target *string, name, defaultValue, usage string, required bool) {
	s.addAddress(target, name, defaultValue, usage, required, checkReachable)
}

func (s *Set) addAddress(target *string, name, defaultValue, usage string, required bool, check func(string) error) {
	allowed := "host:port or empty"
	if required {
		allowed = "host:port"
	}
	s.Custom(name, defaultValue, usage, allowed, func(value string) error {
		if value == "" && required {
			return eris.New("is not set")
		}
		if value != "" {
			if err := check(value); err != nil {
				return err
			}
		}
		*target = value
		return nil
	})
}

// Name adds a required setting whose text matches the pattern.
func (s *Set) Name(target *string, name, usage string, pattern pattern.Pattern, allowed string) {
	s.Custom(name, "", usage, allowed, func(value string) error {
		switch {
		case value == "":
			return eris.New("is not set")
		case !pattern.MatchString(value):
			return eris.New("is not a valid name")
		}
		*target = value
		return nil
	})
}

const maxPort = 65535

func checkAddress(value string) error {
	_, port, err := net.SplitHostPort(value)
	if err != nil {
		return eris.New("is not host:port")
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > maxPort {
		return eris.Errorf("has no port from 0 to %d", maxPort)
	}
	return nil
}

// checkReachable returns an error when another process cannot connect to the address.
func checkReachable(value string) error {
	if err := checkAddress(value); err != nil {
		return err
	}
	host, port, _ := net.SplitHostPort(value)
	if IsUnspecified(value) {
		return eris.Errorf("names the host %q, to which nobody can connect", host)
	}
	if n, _ := strconv.Atoi(port); n == 0 {
		return eris.New("has port 0, to which nobody can connect")
	}
	return nil
}

// IsUnspecified reports whether a host:port stands for all addresses of the host.
func IsUnspecified(address string) bool {
	host, _, _ := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	return host == "" || ip != nil && ip.IsUnspecified()
}

// IsLoopback reports whether a host:port can be reached only from the same host.
func IsLoopback(address string) bool {
	host, _, _ := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// HasAnyPort reports whether a host:port has port 0, for which the system selects a free port.
func HasAnyPort(address string) bool {
	_, port, err := net.SplitHostPort(address)
	return err == nil && port == "0"
}
