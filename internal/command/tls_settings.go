package command

import (
	"github.com/apex/log"

	"github.com/coltsfootspur/coltsfootspur/internal/identity"
	"github.com/coltsfootspur/coltsfootspur/internal/settings"
)

// tlsSettings holds the paths of the files for encrypted links and HTTPS interfaces, all in PEM format. The files are read
// again when they change.
type tlsSettings struct {
	linkCert, linkKey, linkCA string
	serverCert, serverKey     string
}

// register adds the settings and their rules. interfaces completes the usage text of server-cert: what the certificate is
// for.
func (s *tlsSettings) register(set *settings.Set, interfaces string) {
	set.String(&s.linkCert, "link-cert", "", "file of the certificate of this process for links, PEM; empty for links without TLS", false)
	set.String(&s.linkKey, "link-key", "", "file of the key of link-cert, PEM", false)
	set.String(&s.linkCA, "link-ca", "", "file of the authorities that are trusted for links, PEM", false)
	set.String(&s.serverCert, "server-cert", "", "file of the certificate for "+interfaces+", PEM; empty for HTTP without TLS", false)
	set.String(&s.serverKey, "server-key", "", "file of the key of server-cert, PEM", false)
	set.AddRule(settings.Rule{
		Names:      []string{"link-cert", "link-key", "link-ca"},
		IsViolated: func() bool { return !allOrNoneSet(s.linkCert, s.linkKey, s.linkCA) },
		Problem:    "belong together; allowed: all three or none",
	})
	set.AddRule(settings.Rule{
		Names:      []string{"server-cert", "server-key"},
		IsViolated: func() bool { return !allOrNoneSet(s.serverCert, s.serverKey) },
		Problem:    "belong together; allowed: both or none",
	})
}

// allOrNoneSet reports whether either all values are empty or none is.
func allOrNoneSet(values ...string) bool {
	for _, v := range values {
		if (v == "") != (values[0] == "") {
			return false
		}
	}
	return true
}

// load reads the files. The identity or the certificate is nil if its files are not set. It returns
// identity.ErrInvalidFile for files that cannot be used.
func (s *tlsSettings) load(logger log.Interface) (*identity.Identity, *identity.Certificate, error) {
	var links *identity.Identity
	var server *identity.Certificate
	var err error
	if s.linkCert != "" {
		if links, err = identity.Load(s.linkCert, s.linkKey, s.linkCA, logger); err != nil {
			return nil, nil, err
		}
	}
	if s.serverCert != "" {
		if server, err = identity.LoadCertificate(s.serverCert, s.serverKey, logger); err != nil {
			return nil, nil, err
		}
	}
	return links, server, nil
}
