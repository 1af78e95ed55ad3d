package admin_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/admin"
)

// serve runs a server with the metric "starts" and returns its address.
func serve(t testing.TB, starts int64, change func(*admin.Options)) string {
	t.Helper()
	vars := admin.NewVars()
	vars.Int("starts").Set(starts)
	options := admin.Options{
		Address: "127.0.0.1:0", Token: "secret", Role: "agent", Vars: vars,
		Dump: func(context.Context) (any, error) { return map[string]int{"slots": 8}, nil },
	}
	change(&options)
	s, err := admin.New(options)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return s.Address()
}

func get(t testing.TB, address, path, authorization string) (status int, body []byte) {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", authorization)
	response, err := (&http.Client{Timeout: 10 * time.Second}).Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err = io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, body
}

// Guards against operator endpoints that need no token, and against health checks that need one.
func TestOnlyHealthChecksNeedNoToken(t *testing.T) {
	g := gomega.NewWithT(t)
	address := serve(t, 0, func(o *admin.Options) { o.Ready = func() error { return errors.New("no link") } })
	status := func(path, authorization string) int {
		s, _ := get(t, address, path, authorization)
		return s
	}
	g.Expect(status("/livez", "")).To(gomega.Equal(http.StatusOK))
	s, body := get(t, address, "/readyz", "")
	g.Expect(s).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(string(body)).To(gomega.Equal("no link\n"))
	for _, path := range []string{"/debug/vars", "/dump"} {
		for _, wrong := range []string{"", "Bearer ", "Bearer secre", "Bearer secret2", "secret", "Basic secret"} {
			g.Expect(status(path, wrong)).To(gomega.Equal(http.StatusUnauthorized), "%s %q", path, wrong)
		}
		g.Expect(status(path, "Bearer secret")).To(gomega.Equal(http.StatusOK), path)
	}
	dump := func(context.Context) (any, error) { return nil, nil }
	_, err := admin.New(admin.Options{Address: "127.0.0.1:0", Role: "agent", Vars: admin.NewVars(), Dump: dump})
	g.Expect(errors.Is(err, admin.ErrInvalidOptions)).To(gomega.BeTrue(), "a server without a token")
}

// Guards against two instances in one process that share metrics or panic because of equal metric names.
func TestInstancesHaveTheirOwnMetrics(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, want := range []int64{1, 2} {
		address := serve(t, want, func(*admin.Options) {})
		_, body := get(t, address, "/debug/vars", "Bearer secret")
		var metrics struct {
			Agent    map[string]int64 `json:"agent"`
			MemStats map[string]any   `json:"memstats"`
		}
		g.Expect(json.Unmarshal(body, &metrics)).To(gomega.Succeed())
		g.Expect(metrics.Agent).To(gomega.Equal(map[string]int64{"starts": want}))
		g.Expect(metrics.MemStats).To(gomega.HaveKey("HeapAlloc"))
	}
}

// Guards against a state dump that waits forever for a busy control goroutine.
func TestDumpIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	address := serve(t, 0, func(o *admin.Options) {
		o.DumpTimeout = 50 * time.Millisecond
		o.Dump = func(ctx context.Context) (any, error) {
			<-ctx.Done()
			return nil, admin.ErrDump
		}
	})
	status, _ := get(t, address, "/dump", "Bearer secret")
	g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
}
