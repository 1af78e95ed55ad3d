package agent_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/agent"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// running is an agent under test.
type running struct {
	*agent.Agent
	stop  func()
	ended chan error
}

func runAgent(t testing.TB, upstream string, entries []*testEntry, change ...func(*agent.Options)) *running {
	t.Helper()
	base, err := url.Parse(upstream)
	if err != nil {
		t.Fatal(err)
	}
	options := agent.Options{
		ID: "u1", DataCentre: "dc1", Services: []string{"bench"}, Upstream: base, LinkToken: token,
		StopTimeout: 10 * time.Second, Log: silentLog,
	}
	for _, e := range entries {
		options.Entries = append(options.Entries, e.address)
	}
	for _, c := range change {
		c(&options)
	}
	a, err := agent.New(options)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{Agent: a, stop: cancel, ended: make(chan error, 1)}
	go func() { r.ended <- a.Run(ctx) }()
	var once sync.Once
	t.Cleanup(func() { once.Do(cancel) })
	return r
}

// Guards against a broken path from start to result and against lost fields of the answer.
func TestStartRunsAndReturnsTheAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Task", r.Header.Get(agent.HeaderTask))
		w.WriteHeader(http.StatusTeapot)
		_, _ = w.Write([]byte("answer"))
	}))
	defer upstream.Close()
	e := newTestEntry(t, "e1")
	runAgent(t, upstream.URL, []*testEntry{e})
	e.send(e.start(1))
	r := e.waitResult(1)
	g.Expect(r.State).To(gomega.Equal(wire.AttemptDone))
	g.Expect(r.Status).To(gomega.BeEquivalentTo(http.StatusTeapot))
	g.Expect(string(r.Body)).To(gomega.Equal("answer"))
	g.Expect(r.Headers).To(gomega.ContainElement(wire.Header{Name: "X-Task", Value: "65010000000000000000000000000000/0"}))
}
