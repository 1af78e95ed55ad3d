package admin_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/admin"
)

func get(g *gomega.WithT, url, token string) (int, string) {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := http.DefaultClient.Do(request)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return response.StatusCode, string(body)
}

// Guards against operator endpoints that are open to everybody or hang with a process whose control goroutine does not
// answer, and against metrics that are not brought up to date before they are read.
func TestEndpoints(t *testing.T) {
	g := gomega.NewWithT(t)
	vars := admin.NewVars()
	reads := vars.Int("reads")
	stuck := false
	server, err := admin.New(admin.Options{
		Address: "127.0.0.1:0", Token: "secret", Role: "entry", Vars: vars, DumpTimeout: 50 * time.Millisecond,
		Ready: func() error { return eris.New("is stopping") },
		Refresh: func(ctx context.Context) {
			reads.Add(1)
			if stuck {
				<-ctx.Done()
			}
		},
		Dump: func(ctx context.Context) (any, error) {
			<-ctx.Done()
			return nil, eris.Wrap(admin.ErrDump, "busy")
		},
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx) }()
	base := "http://" + server.Address()

	status, _ := get(g, base+"/livez", "")
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	status, body := get(g, base+"/readyz", "")
	g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(body).To(gomega.Equal("is stopping\n"))
	for _, path := range []string{"/dump", "/debug/vars"} {
		for _, token := range []string{"", "wrong"} {
			status, _ = get(g, base+path, token)
			g.Expect(status).To(gomega.Equal(http.StatusUnauthorized), path)
		}
	}
	status, body = get(g, base+"/debug/vars", "secret")
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	g.Expect(body).To(gomega.And(gomega.ContainSubstring(`"entry":{"reads":1}`), gomega.ContainSubstring("memstats")))
	stuck = true
	status, body = get(g, base+"/debug/vars", "secret")
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	g.Expect(body).To(gomega.ContainSubstring(`"entry":{"reads":2}`))
	status, _ = get(g, base+"/dump", "secret")
	g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
	stop()
	g.Expect(<-ended).To(gomega.Succeed())
}
