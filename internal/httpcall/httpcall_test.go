package httpcall_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/httpcall"
)

// Guards against an answer that is cut off because its body is large and the link slow, and against a call that hangs because
// a body never ends or its header never comes.
func TestTimeoutOfTheBody(t *testing.T) {
	g := gomega.NewWithT(t)
	release := make(chan struct{})
	body := strings.Repeat("x", 1<<20)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/silent" {
			<-release
			return
		}
		_, _ = w.Write([]byte(body[:1]))
		w.(http.Flusher).Flush()
		if r.URL.Path == "/endless" {
			<-release
		}
		time.Sleep(600 * time.Millisecond)
		_, _ = w.Write([]byte(body[1:]))
	}))
	defer server.Close()
	defer close(release)
	client, err := httpcall.New(httpcall.Options{BaseURL: server.URL, DialTimeout: time.Second, MaxReplyBytes: 2 << 20, ReceiveBuffer: 64 << 10})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	call := func(path string, timeout, bodyTimeout time.Duration) (*httpcall.Reply, error) {
		reply, _, err := client.Do(context.Background(), httpcall.Request{Method: http.MethodGet, Path: path, Timeout: timeout, BodyTimeout: bodyTimeout})
		return reply, err
	}
	reply, err := call("/slow", 500*time.Millisecond, time.Minute)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(reply.Body).To(gomega.HaveLen(len(body)))
	for _, c := range []struct {
		path                 string
		timeout, bodyTimeout time.Duration
	}{
		{"/endless", time.Minute, 100 * time.Millisecond},
		{"/silent", 100 * time.Millisecond, time.Minute},
		{"/endless", 500 * time.Millisecond, 0},
	} {
		_, err = call(c.path, c.timeout, c.bodyTimeout)
		g.Expect(err).To(gomega.MatchError(httpcall.ErrNoAnswer), c.path)
	}
}
