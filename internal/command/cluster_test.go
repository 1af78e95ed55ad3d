package command

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/agent"
	"github.com/coltsfootspur/coltsfootspur/internal/api"
	"github.com/coltsfootspur/coltsfootspur/internal/deployment"
	"github.com/coltsfootspur/coltsfootspur/internal/devcluster"
)

// extraDocument is the document of a service that only the agent with operator endpoints serves, so that this agent gets
// work.
const extraDocument = "service: extra\nteam: workshop\nkinds:\n  - name: edge-check\n    deadline: 20s\n"

// startClusterUnderLoad starts a deployment with load and one additional agent that has operator endpoints.
func startClusterUnderLoad(t *testing.T) (cluster *devcluster.Cluster, agentAddress string) {
	t.Helper()
	g := gomega.NewWithT(t)
	d, err := deployment.Load("wax")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	cluster, err = devcluster.Start(context.Background(), devcluster.Options{Deployment: d})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(cluster.Close)
	file := filepath.Join(t.TempDir(), "extra.yaml")
	g.Expect(os.WriteFile(file, []byte(extraDocument), 0o600)).To(gomega.Succeed())
	code, _, errors := runProgram("service", "put", file, "--expect-revision", "0", "--store", cluster.Store.URL())
	g.Expect(code).To(gomega.Equal(ExitOK), errors)
	target, err := url.Parse(cluster.Upstreams[0].URL())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	a, err := cluster.StartAgent(agent.Options{
		ID: "extra", DataCentre: d.Workers[0].DataCentre, Services: []string{"extra"},
		Entries: []string{cluster.Entries[0].LinkAddress()}, UpstreamURL: target, LinkToken: cluster.LinkToken,
		AdminAddress: "127.0.0.1:0", AdminToken: devcluster.OperatorToken, Log: cluster.Agents[0].Options.Log,
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for _, base := range cluster.CallerURLs() {
		callers.Go(func() { sendRequests(t, base+"/v1/services/bench/requests/edge-check", stop) })
		callers.Go(func() { sendRequests(t, base+"/v1/services/extra/requests/edge-check", stop) })
	}
	t.Cleanup(callers.Wait)
	t.Cleanup(func() { close(stop) })
	return cluster, a.AdminAddress()
}

// sendRequests sends requests one after the other, every second one with a key of its own, until stop is closed.
func sendRequests(t *testing.T, target string, stop <-chan struct{}) {
	for n := 0; ; n++ {
		request, err := http.NewRequest(http.MethodPost, target, strings.NewReader(`{"work_ms":5}`))
		if err != nil {
			t.Error(err)
			return
		}
		if n%2 == 0 {
			request.Header.Set(api.HeaderKey, uuid.NewString())
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Error(err)
			return
		}
		_ = response.Body.Close()
		select {
		case <-stop:
			return
		default:
		}
	}
}

// readMetrics reads the metrics of a role from the operator endpoints at an address.
func readMetrics(address, role string) (map[string]any, error) {
	o := &operatorClient{address: address, token: devcluster.OperatorToken, timeout: 10 * time.Second}
	var document map[string]any
	if err := o.getJSON(context.Background(), "/debug/vars", &document); err != nil {
		return nil, err
	}
	metrics, ok := document[role].(map[string]any)
	if !ok {
		return nil, eris.Errorf("no metrics of the role %s", role)
	}
	return metrics, nil
}

// Guards against metrics that race with the control goroutines, stay empty while work runs, or are not documented, and
// against a page that documents metrics that do not exist.
func TestMetricsWhileWorkRuns(t *testing.T) {
	g := gomega.NewWithT(t)
	cluster, agentAddress := startClusterUnderLoad(t)
	var readers sync.WaitGroup
	read := func(address, role string) {
		for range 20 {
			if _, err := readMetrics(address, role); err != nil {
				t.Error(err)
			}
		}
	}
	for _, e := range cluster.Entries {
		readers.Go(func() { read(e.AdminAddress(), "entry") })
	}
	readers.Go(func() { read(agentAddress, "agent") })
	readers.Wait()

	g.Eventually(func(g gomega.Gomega) {
		entry, err := readMetrics(cluster.Entries[0].AdminAddress(), "entry")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(entry["starts"]).To(gomega.BeNumerically(">", 0))
		g.Expect(entry["links"]).To(gomega.HaveKeyWithValue("agent", gomega.BeNumerically("==", len(cluster.Agents))))
		g.Expect(entry["caller_answers"]).To(gomega.HaveKeyWithValue("complete", gomega.BeNumerically(">", 0)))
		g.Expect(entry["services"]).To(gomega.HaveKeyWithValue("bench", gomega.HaveKeyWithValue("starts", gomega.BeNumerically(">", 0))))
		g.Expect(entry["store"]).To(gomega.HaveKeyWithValue("calls", gomega.HaveKey("watch")))
		g.Expect(entry["submissions"]).To(gomega.HaveKeyWithValue("entries", gomega.BeNumerically(">", 0)))
		g.Expect(entry["figures_age_ms"]).To(gomega.BeNumerically("<", 2000))
		extra, err := readMetrics(agentAddress, "agent")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(extra["starts"]).To(gomega.BeNumerically(">", 0))
		g.Expect(extra["start_records"]).To(gomega.HaveKeyWithValue("all", gomega.BeNumerically(">", 0)))
		g.Expect(extra["services"]).To(gomega.HaveKeyWithValue("extra", gomega.HaveKeyWithValue("revision", gomega.BeNumerically("==", 1))))
	}, 10*time.Second, 50*time.Millisecond).Should(gomega.Succeed())

	page := readOperatorsPage(g)
	for role, address := range map[string]string{"entry": cluster.Entries[0].AdminAddress(), "agent": agentAddress} {
		metrics, err := readMetrics(address, role)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		names := slices.Collect(maps.Keys(metrics))
		g.Expect(firstColumnNames(page, "### Metrics of an "+role)).To(gomega.ConsistOf(names), "documented metrics of the "+role)
	}
}

func readOperatorsPage(g *gomega.WithT) string {
	page, err := os.ReadFile("../../docs/operators.md")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return string(page)
}

var (
	firstCellPattern = regexp.MustCompile("(?m)^\\| (`[^|]+) \\|")
	codeSpanPattern  = regexp.MustCompile("`([^`]+)`")
)

// firstColumnNames returns the names in the first column of the table below a heading.
func firstColumnNames(page, heading string) []string {
	_, section, _ := strings.Cut(page, "\n"+heading+"\n")
	section, _, _ = strings.Cut(section, "\n#")
	var keys []string
	for _, cell := range firstCellPattern.FindAllStringSubmatch(section, -1) {
		for _, name := range codeSpanPattern.FindAllStringSubmatch(cell[1], -1) {
			keys = append(keys, name[1])
		}
	}
	return keys
}

// Guards against a summary of a real process that lacks parts, and against a dump that is not JSON.
func TestStatusAndDumpOfRealProcesses(t *testing.T) {
	g := gomega.NewWithT(t)
	cluster, agentAddress := startClusterUnderLoad(t)
	for address, parts := range map[string][]string{
		cluster.Entries[0].AdminAddress(): {"takes work   yes", "entry-01 in ", "SERVICE", "AGENT", "connected"},
		agentAddress:                      {"extra", "reachable", "extra    1", "linked"},
	} {
		g.Eventually(func(g gomega.Gomega) {
			code, out, errors := runProgram("status", "--admin-address", address, "--admin-token", devcluster.OperatorToken)
			g.Expect(errors).To(gomega.BeEmpty())
			g.Expect(code).To(gomega.Equal(ExitOK))
			for _, part := range parts {
				g.Expect(out).To(gomega.ContainSubstring(part))
			}
		}, 10*time.Second, 50*time.Millisecond).Should(gomega.Succeed())
		_, out, _ := runProgram("dump", "--admin-address", address, "--admin-token", devcluster.OperatorToken)
		g.Expect(json.Valid([]byte(out))).To(gomega.BeTrue())
		response, err := http.Get("http://" + address + "/debug/vars")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(response.Body.Close()).To(gomega.Succeed())
		g.Expect(response.StatusCode).To(gomega.Equal(http.StatusUnauthorized))
	}
}
