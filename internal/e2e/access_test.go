package e2e_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against callers that can use the service of another team, and against changed caller tokens that take longer than
// 4 s to be in effect.
func TestCallerTokensOfADocument(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{agents: 1})
	putTokens := func(revision int, tokens ...string) {
		text := benchDocument + "caller_tokens:\n"
		for _, token := range tokens {
			digest := sha256.Sum256([]byte(token))
			text += fmt.Sprintf("  - %q\n", hex.EncodeToString(digest[:]))
		}
		c.putDocument(text, revision)
	}
	status := func(e *entry, token string) int {
		url := "http://" + e.callerAddress + "/v1/services/" + defaultService + "/requests/quote"
		request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(`{"work_ms":1}`))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		if token != "" {
			request.Header.Set("Authorization", "Bearer "+token)
		}
		response, err := controlClient.Do(request)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_ = response.Body.Close()
		return response.StatusCode
	}
	expectEventually := func(token string, want int) {
		for _, e := range c.entries {
			g.Eventually(func() int { return status(e, token) }, 4*time.Second, 20*time.Millisecond).Should(gomega.Equal(want), e.id)
		}
	}
	expectEventually("", http.StatusOK)
	putTokens(1, "previous", "next")
	expectEventually("", http.StatusUnauthorized)
	expectEventually("previous", http.StatusOK)
	expectEventually("other", http.StatusUnauthorized)
	putTokens(2, "next")
	expectEventually("previous", http.StatusUnauthorized)
	expectEventually("next", http.StatusOK)
}
