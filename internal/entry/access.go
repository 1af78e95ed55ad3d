package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"

	"github.com/coltsfootspur/coltsfootspur/internal/link"
)

// callerTokenDigests holds, by service, the SHA-256 digests of the caller tokens in its document. Services without tokens
// are left out. The control goroutine replaces it as a whole, and the goroutines of requests read it.
type callerTokenDigests map[string][][sha256.Size]byte

// publishCallerTokens puts the caller tokens of the documents in force into use.
func (c *control) publishCallerTokens() {
	digests := make(callerTokenDigests)
	for name, s := range c.services {
		for _, text := range s.document.CallerTokens {
			var digest [sha256.Size]byte
			if n, err := hex.Decode(digest[:], []byte(text)); err == nil && n == len(digest) {
				digests[name] = append(digests[name], digest)
			}
		}
	}
	c.entry.callerTokens.Store(&digests)
}

// isCallerAuthorized reports whether a request may use a service: either it carries the token of the settings or one of the
// document's tokens, or neither the settings nor the document requires one.
func (e *Entry) isCallerAuthorized(r *http.Request, service string) bool {
	var digests [][sha256.Size]byte
	if tokens := e.callerTokens.Load(); tokens != nil {
		digests = (*tokens)[service]
	}
	if e.options.CallerToken == "" && len(digests) == 0 {
		return true
	}
	if link.Authorized(r, e.options.CallerToken) {
		return true
	}
	token, ok := link.BearerToken(r)
	return ok && token != "" && containsDigest(digests, sha256.Sum256([]byte(token)))
}

// containsDigest compares with every digest in constant time, so that the duration does not reveal which one matched.
func containsDigest(digests [][sha256.Size]byte, digest [sha256.Size]byte) bool {
	found := 0
	for _, d := range digests {
		found |= subtle.ConstantTimeCompare(d[:], digest[:])
	}
	return found == 1
}
