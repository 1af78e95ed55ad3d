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

// Guards against callers of one team that can use the service of another one, and against tokens whose change is not in
// force within 4 s.
func TestCallerTokensOfADocument(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{agents: 1})
	allow := func(revision int, tokens ...string) {
		text := benchDocument + "caller_tokens:\n"
		for _, token := range tokens {
			digest := sha256.Sum256([]byte(token))
			text += fmt.Sprintf("  - %q\n", hex.EncodeToString(digest[:]))
		}
		c.putDocument(text, revision)
	}
	status := func(e *entry, token string) int {
		url := "http://" + e.callers + "/v1/services/" + service + "/requests/quote"
		request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(`{"work_ms":1}`))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		if token != "" {
			request.Header.Set("Authorization", "Bearer "+token)
		}
		response, err := client.Do(request)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_ = response.Body.Close()
		return response.StatusCode
	}
	eventually := func(token string, want int) {
		for _, e := range c.entries {
			g.Eventually(func() int { return status(e, token) }, 4*time.Second, 20*time.Millisecond).Should(gomega.Equal(want), e.id)
		}
	}
	eventually("", http.StatusOK)
	allow(1, "former", "next")
	eventually("", http.StatusUnauthorized)
	eventually("former", http.StatusOK)
	eventually("other", http.StatusUnauthorized)
	allow(2, "next")
	eventually("former", http.StatusUnauthorized)
	eventually("next", http.StatusOK)
}
