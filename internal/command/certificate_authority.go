package command

import (
	"context"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/identity"
)

const defaultAuthorityLifetime = 5 * 365 * day

// newCertificateAuthority returns the subcommand that makes a certificate authority.
func newCertificateAuthority() *subcommand {
	c := newSubcommand("authority", "make a certificate authority: "+authorityFile+" and "+authorityKeyFile)
	var files certificateFiles
	var name string
	files.register(c.settings, defaultAuthorityLifetime)
	c.settings.String(&name, "name", "coltsfootspur authority", "name of the authority, only for display", true)
	c.run = func(_ context.Context, std streams) int {
		pair, err := identity.NewAuthority(name, time.Now(), files.lifetime)
		if err == nil {
			err = files.write(pair, authorityFile, authorityKeyFile)
		}
		return files.reportResult(std, err, authorityFile, authorityKeyFile)
	}
	return c
}
