package agent_test

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/agent"
	"github.com/coltsfootspur/coltsfootspur/internal/standin/upstream"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

func get(t testing.TB, address, path string) (status int, body []byte) {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer operator")
	response, err := http.DefaultClient.Do(request)
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

// Guards against operator endpoints that do not show the attempts and results of an agent, and against an agent that
// reports ready while its upstream is down.
func TestOperatorEndpointsShowTheAgent(t *testing.T) {
	g := gomega.NewWithT(t)
	u := newUpstream(t, upstream.Faults{})
	e := newTestEntry(t, "e1")
	gate := newGatedClient(t, u.URL())
	a := runAgent(t, u.URL(), []*testEntry{e}, gate.installInto, func(o *agent.Options) {
		o.AdminAddress, o.AdminToken = "127.0.0.1:0", "operator"
	})
	ready := func() int {
		status, _ := get(t, a.AdminAddress(), "/readyz")
		return status
	}
	g.Eventually(ready, 5*time.Second).Should(gomega.Equal(http.StatusOK))
	e.send(e.newStart(1))
	var dump agent.Dump
	g.Eventually(func() int {
		_, body := get(t, a.AdminAddress(), "/dump")
		g.Expect(json.Unmarshal(body, &dump)).To(gomega.Succeed())
		return len(dump.Attempts)
	}, 5*time.Second).Should(gomega.Equal(1))
	g.Expect(dump.Attempts[0].Attempt).To(gomega.BeEquivalentTo(1))
	g.Expect(dump.Homes).To(gomega.HaveLen(1))
	gate.open()
	e.waitResult(1)
	g.Expect(u.SetFaults(upstream.Faults{Refuse: true})).To(gomega.Succeed())
	starts := 1
	g.Eventually(func() wire.RefusalReason {
		// The outcome of the first one is unknown if it is written to a pooled connection that the upstream closes.
		starts++
		e.send(e.newStart(uint64(starts)))
		return e.waitResult(uint64(starts)).Reason
	}, 5*time.Second).Should(gomega.Equal(wire.RefusedUpstreamDown))
	g.Expect(ready()).To(gomega.Equal(http.StatusServiceUnavailable))
	var vars struct {
		Agent struct {
			Starts       int            `json:"starts"`
			Refusals     map[string]int `json:"refusals"`
			Results      map[string]int `json:"results"`
			ControlBytes int            `json:"control_bytes_sent"`
		} `json:"agent"`
	}
	_, body := get(t, a.AdminAddress(), "/debug/vars")
	g.Expect(json.Unmarshal(body, &vars)).To(gomega.Succeed())
	results := vars.Agent.Results
	g.Expect(vars.Agent.Starts).To(gomega.Equal(starts))
	g.Expect(vars.Agent.Refusals).To(gomega.Equal(map[string]int{"down": 1}))
	g.Expect(results["done"]).To(gomega.Equal(1))
	g.Expect(results["done"] + results["refused"] + results["unknown"]).To(gomega.Equal(starts))
}
