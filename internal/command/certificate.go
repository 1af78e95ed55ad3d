package command

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/identity"
	"github.com/coltsfootspur/coltsfootspur/internal/settings"
)

const (
	day                   = 24 * time.Hour
	minLifetime           = time.Minute
	maxLifetime           = 20 * 365 * day
	authorityFile         = "ca.pem"
	authorityKeyFile      = "ca-key.pem"
	certificatePermission = 0o644
	keyPermission         = 0o600
)

// errFileExists means that a file would be overwritten. It is refused because a key in the file may be in use.
var errFileExists = eris.New("file exists already")

// newCertificateGroup returns the group of subcommands that make certificates at sites without a certificate authority.
func newCertificateGroup() *group {
	return newGroup("certificate", "make certificates for encrypted links and HTTPS interfaces",
		newCertificateAuthority(), newCertificateIssue())
}

// certificateFiles holds the settings under which a certificate and its key are written to a directory.
type certificateFiles struct {
	directory string
	lifetime  time.Duration
}

func (f *certificateFiles) register(set *settings.Set, lifetime time.Duration) {
	set.String(&f.directory, "directory", ".", "directory in which the files are written", true)
	set.Duration(&f.lifetime, "lifetime", lifetime, minLifetime, maxLifetime, "time from now until the certificate expires")
}

// write creates both files. It returns errFileExists and writes nothing if one of them exists.
func (f *certificateFiles) write(pair identity.PEM, certificate, key string) error {
	for _, name := range []string{certificate, key} {
		if _, err := os.Stat(filepath.Join(f.directory, name)); err == nil {
			return eris.Wrap(errFileExists, filepath.Join(f.directory, name))
		}
	}
	if err := createFile(filepath.Join(f.directory, key), pair.Key, keyPermission); err != nil {
		return err
	}
	return createFile(filepath.Join(f.directory, certificate), pair.Certificate, certificatePermission)
}

func createFile(path string, content []byte, permission fs.FileMode) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, permission)
	if err != nil {
		return eris.Wrap(err, "cannot create the file")
	}
	if _, err := file.Write(content); err != nil {
		_ = file.Close()
		return eris.Wrap(err, "cannot write the file")
	}
	return eris.Wrap(file.Close(), "cannot write the file")
}

// reportResult prints the paths of the files, or the error, and returns the exit code.
func (f *certificateFiles) reportResult(std streams, err error, certificate, key string) int {
	if err != nil {
		return reportError(std, err, ExitFailure)
	}
	fmt.Fprintf(std.out, "certificate: %s\nkey: %s\n", filepath.Join(f.directory, certificate), filepath.Join(f.directory, key))
	return ExitOK
}
