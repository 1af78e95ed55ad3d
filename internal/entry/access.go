package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"

	"github.com/coltsfootspur/coltsfootspur/internal/link"
)

// callerAccess holds the digests of the callers' tokens of each service whose document has some. It is replaced as a whole
// by the control goroutine and read by the goroutines of requests.
type callerAccess map[string][][sha256.Size]byte

// publishAccess puts the tokens of the documents in force into use.
func (c *control) publishAccess() {
	access := make(callerAccess)
	for name, s := range c.services {
		for _, text := range s.document.CallerTokens {
			var digest [sha256.Size]byte
			if n, err := hex.Decode(digest[:], []byte(text)); err == nil && n == len(digest) {
				access[name] = append(access[name], digest)
			}
		}
	}
	c.entry.access.Store(&access)
}

// mayCall reports whether a request may use a service: it carries the token of the settings or one of the document's, or
// neither asks for one.
func (e *Entry) mayCall(r *http.Request, service string) bool {
	var digests [][sha256.Size]byte
	if access := e.access.Load(); access != nil {
		digests = (*access)[service]
	}
	if e.options.CallerToken == "" && len(digests) == 0 {
		return true
	}
	if link.Authorized(r, e.options.CallerToken) {
		return true
	}
	token, ok := link.Bearer(r)
	return ok && token != "" && contains(digests, sha256.Sum256([]byte(token)))
}

// contains compares with every digest, so that the time does not tell which one was close.
func contains(digests [][sha256.Size]byte, digest [sha256.Size]byte) bool {
	found := 0
	for _, d := range digests {
		found |= subtle.ConstantTimeCompare(d[:], digest[:])
	}
	return found == 1
}
