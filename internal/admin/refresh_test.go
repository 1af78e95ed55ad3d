package admin_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/admin"
)

// Guards against metrics that are not updated before they are read, and against a read that hangs because the control
// goroutine does not answer.
func TestMetricsAreRefreshed(t *testing.T) {
	g := gomega.NewWithT(t)
	vars := admin.NewVars()
	reads := vars.Int("reads")
	server, err := admin.New(admin.Options{
		Address: "127.0.0.1:0", Token: "secret", Role: "entry", Vars: vars, DumpTimeout: 50 * time.Millisecond,
		Dump: func(context.Context) (any, error) { return nil, admin.ErrDump },
		Refresh: func(ctx context.Context) {
			reads.Add(1)
			if reads.Value() > 1 {
				<-ctx.Done()
			}
		},
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx) }()
	for _, want := range []string{`"entry":{"reads":1}`, `"entry":{"reads":2}`} {
		request, err := http.NewRequest(http.MethodGet, "http://"+server.Address()+"/debug/vars", nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		request.Header.Set("Authorization", "Bearer secret")
		response, err := http.DefaultClient.Do(request)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		body, err := io.ReadAll(response.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(response.Body.Close()).To(gomega.Succeed())
		g.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
		g.Expect(string(body)).To(gomega.ContainSubstring(want))
	}
	stop()
	g.Expect(<-ended).To(gomega.Succeed())
}
