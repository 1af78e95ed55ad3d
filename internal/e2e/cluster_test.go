package e2e_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Names and tokens of the deployment under test.
const (
	defaultService = "bench"
	// homeRegionService has the home region east. The tests that use it write its document.
	homeRegionService = "bench-east"
	linkToken         = "e2e-link"
	operatorToken     = "e2e-operator"
)

// Times of the deployment under test, the shortest that the settings allow.
const (
	leaseTTL       = 2 * time.Second
	expulsionDelay = time.Second
	readinessDelay = 500 * time.Millisecond
)

// benchDocument is the document of defaultService. No upstream can run the kind heavy.
const benchDocument = `service: bench
team: wax
deadline: 10s
kinds:
  - name: charge
    idempotent: false
  - name: quote
    idempotent: true
  - name: heavy
    requires: {accelerators: 64}
`

// options configures a cluster. The zero value means 3 entries in one region, 4 agents with 8 slots each and no relays.
type options struct {
	agents int // 0 means 4
	// withRelays puts one relay in front of the link address of each entry and another one between each entry and the store.
	withRelays bool
	slots      int // of each agent; 0 means 8
	// extraArguments are added to the command lines of entries and agents.
	extraArguments []string
	// regions holds the region of each entry; agents are assigned to them in turn. Empty means 3 entries in the region east.
	regions []string
	// useDefaultTimes leaves the lease TTL, expulsion delay, readiness delay and store timeout at the program's defaults.
	useDefaultTimes bool
}

// cluster is a deployment of separate processes on loopback.
type cluster struct {
	t         *testing.T
	options   options
	storeURL  string
	store     *process
	entries   []*entry
	agents    []*agent
	upstreams []*upstream
}

// entry is an entry process. It keeps its addresses when it is started again.
type entry struct {
	*process
	id, callerAddress, linkAddress, advertisedAddress, adminAddress string
	// region is "east" unless a test sets another region.
	region    string
	linkRelay *relay
	// storeRelay is the relay between the entry and the store; nil without relays.
	storeRelay *relay
}

type agent struct {
	*process
	id, adminAddress, region string
	upstream                 *upstream
}

type upstream struct {
	*process
	name, taskAddress, controlAddress string
	// earlierStarts holds the start counts by task of each earlier run of the upstream.
	earlierStarts []map[string]int
}

// newCluster starts the processes and waits until each entry is linked to every agent and every other entry.
func newCluster(t *testing.T, o options) *cluster {
	t.Helper()
	if o.agents == 0 {
		o.agents = 4
	}
	if o.slots == 0 {
		o.slots = 8
	}
	c := &cluster{t: t, options: o}
	c.startStore()
	c.putDocument(benchDocument, 0)
	if len(o.regions) == 0 {
		c.options.regions = []string{"east", "east", "east"}
	}
	for i, region := range c.options.regions {
		c.addEntryInRegion(region, fmt.Sprintf("entry-%d", i+1))
	}
	for i := range o.agents {
		c.addAgent(fmt.Sprintf("agent-%d", i+1))
	}
	c.waitConverged(10 * time.Second)
	return c
}

func (c *cluster) startStore() {
	address := freeAddress()
	c.storeURL = "http://" + address
	c.store = startProcess(c.t, "store", "stand-in", "platform", "--listen", address, "--min-session-ttl", "1s")
	c.eventually(5*time.Second, "the store listens", func() error {
		return c.getJSON(c.storeURL+"/fault", new(map[string]any))
	})
}

// putDocument writes a revision of the document with the command that operators use.
func (c *cluster) putDocument(text string, expectedRevision int) {
	c.t.Helper()
	if output, err := c.tryPutDocument(text, expectedRevision); err != nil {
		c.t.Fatalf("service put: %v\n%s", err, output)
	}
}

func (c *cluster) tryPutDocument(text string, expectedRevision int) ([]byte, error) {
	file := filepath.Join(c.t.TempDir(), "document.yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return exec.CommandContext(ctx, program, "service", "put", file, "--store", c.storeURL, "--author", "e2e",
		"--expect-revision", fmt.Sprint(expectedRevision)).CombinedOutput()
}

func (c *cluster) addEntry(id string) *entry {
	return c.addEntryInRegion("east", id)
}

func (c *cluster) addEntryInRegion(region, id string) *entry {
	e := &entry{id: id, region: region, callerAddress: freeAddress(), linkAddress: freeAddress(), adminAddress: freeAddress()}
	e.advertisedAddress = e.linkAddress
	if c.options.withRelays {
		e.linkRelay = newRelay(c.t, e.linkAddress)
		e.advertisedAddress = e.linkRelay.address
		e.storeRelay = newRelay(c.t, strings.TrimPrefix(c.storeURL, "http://"))
	}
	c.entries = append(c.entries, e)
	c.startEntry(e)
	return e
}

// startEntry starts an entry for the first time or again after its process has exited.
func (c *cluster) startEntry(e *entry) {
	store := c.storeURL
	if e.storeRelay != nil {
		store = "http://" + e.storeRelay.address
	}
	arguments := []string{
		"entry", "--id", e.id, "--data-centre", "ilica", "--region", e.region,
		"--caller-address", e.callerAddress, "--link-address", e.linkAddress, "--advertise-address", e.advertisedAddress,
		"--admin-address", e.adminAddress, "--admin-token", operatorToken, "--link-token", linkToken, "--store", store,
		"--peers", strings.Join(c.linkAddresses(), ","),
	}
	if !c.options.useDefaultTimes {
		arguments = append(arguments, "--lease-ttl", leaseTTL.String(), "--expulsion-delay", expulsionDelay.String(),
			"--readiness-delay", readinessDelay.String(), "--store-timeout", "1s")
	}
	arguments = append(arguments, c.options.extraArguments...)
	e.process = startProcess(c.t, e.id, arguments...)
}

func (c *cluster) linkAddresses() []string {
	var addresses []string
	for _, e := range c.entries {
		addresses = append(addresses, e.advertisedAddress)
	}
	return addresses
}

func (c *cluster) addAgent(id string) *agent {
	u := &upstream{name: "up-" + id, taskAddress: freeAddress(), controlAddress: freeAddress()}
	c.upstreams = append(c.upstreams, u)
	c.startUpstream(u)
	a := &agent{id: id, adminAddress: freeAddress(), region: c.options.regions[len(c.agents)%len(c.options.regions)], upstream: u}
	c.agents = append(c.agents, a)
	c.startAgent(a)
	return a
}

func (c *cluster) startUpstream(u *upstream) {
	u.process = startProcess(c.t, u.name, "stand-in", "upstream", "--name", u.name, "--address", u.taskAddress,
		"--control-address", u.controlAddress)
	c.eventually(5*time.Second, u.name+" listens", func() error {
		return c.getJSON("http://"+u.controlAddress+"/counters", new(map[string]any))
	})
}

func (c *cluster) startAgent(a *agent) {
	arguments := append([]string{
		"agent", "--id", a.id, "--data-centre", "ilica", "--region", a.region,
		"--services", defaultService + "," + homeRegionService, "--entries", strings.Join(c.linkAddresses(), ","),
		"--upstream", "http://" + a.upstream.taskAddress,
		"--link-token", linkToken, "--admin-address", a.adminAddress, "--admin-token", operatorToken,
		"--slots", fmt.Sprint(c.options.slots),
	}, c.options.extraArguments...)
	a.process = startProcess(c.t, a.id, arguments...)
}

// controlClient sends requests to admin and control endpoints.
var controlClient = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (c *cluster) getJSON(url string, into any) error {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	response, err := controlClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return fmt.Errorf("status %d: %s", response.StatusCode, text)
	}
	return json.NewDecoder(response.Body).Decode(into)
}

// sendJSON sends a request with a JSON body to a control endpoint and fails the test if the status is an error or a
// redirect.
func (c *cluster) sendJSON(method, url string, body any) {
	c.t.Helper()
	text, err := json.Marshal(body)
	if err != nil {
		c.t.Fatal(err)
	}
	request, err := http.NewRequest(method, url, bytes.NewReader(text))
	if err != nil {
		c.t.Fatal(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := controlClient.Do(request)
	if err != nil {
		c.t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		c.t.Fatalf("%s %s: status %d", method, url, response.StatusCode)
	}
}

func (c *cluster) setUpstreamFaults(u *upstream, faults map[string]any) {
	c.t.Helper()
	c.sendJSON(http.MethodPut, "http://"+u.controlAddress+"/faults", faults)
}

// eventually repeats the check until it returns nil and fails the test after the limit.
func (c *cluster) eventually(limit time.Duration, condition string, check func() error) {
	c.t.Helper()
	deadline := time.Now().Add(limit)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			c.t.Fatalf("condition not met within %v: %s: %v", limit, condition, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
