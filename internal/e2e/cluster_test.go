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
	service = "bench"
	// homeService has the home region east. Its document is put by the tests that use it.
	homeService = "bench-east"
	linkToken   = "e2e-link"
	token       = "e2e-operator"
)

// Times of the deployment under test. They are the shortest that the settings allow.
const (
	leaseTTL       = 2 * time.Second
	expulsionDelay = time.Second
	readinessDelay = 500 * time.Millisecond
)

// benchDocument is the document of the service. Nothing can run the kind heavy.
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

// options of a cluster; the zero value means 3 entries of one region, 4 agents and no relays.
type options struct {
	agents int
	// relays puts a relay in front of the link address of each entry.
	relays bool
	slots  int
	// arguments are further arguments of entries and agents.
	arguments []string
	// regions are those of the entries, one each; agents take turns. Empty means 3 entries in the region east.
	regions []string
	// defaultTimes leaves lease and expulsion delay at the defaults of the program.
	defaultTimes bool
}

// cluster is a deployment of separate processes.
type cluster struct {
	t         *testing.T
	options   options
	storeURL  string
	store     *process
	entries   []*entry
	agents    []*agent
	upstreams []*upstream
}

// entry is an entry process. Its addresses stay the same when it is started again.
type entry struct {
	*process
	id, callers, links, advertised, admin string
	// region is "east" unless a test sets another one.
	region string
	relay  *relay
	// store is the relay between the entry and the store.
	store *relay
}

type agent struct {
	*process
	id, admin, region string
	upstream          *upstream
}

type upstream struct {
	*process
	name, tasks, control string
	// former has what earlier runs of the upstream started.
	former []map[string]int
}

// newCluster starts the processes and waits until each entry is linked to each agent and each other entry.
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
		c.addEntryIn(region, fmt.Sprintf("entry-%d", i+1))
	}
	for i := range o.agents {
		c.addAgent(fmt.Sprintf("agent-%d", i+1))
	}
	c.waitSettled(10 * time.Second)
	return c
}

func (c *cluster) startStore() {
	address := freeAddress()
	c.storeURL = "http://" + address
	c.store = start(c.t, "store", "stand-in", "platform", "--listen", address, "--min-session-ttl", "1s")
	c.eventually(5*time.Second, "the store listens", func() error {
		return c.getJSON(c.storeURL+"/fault", new(map[string]any))
	})
}

// putDocument writes a revision of the document with the operators' own command.
func (c *cluster) putDocument(text string, expected int) {
	c.t.Helper()
	if output, err := c.tryPutDocument(text, expected); err != nil {
		c.t.Fatalf("service put: %v\n%s", err, output)
	}
}

func (c *cluster) tryPutDocument(text string, expected int) ([]byte, error) {
	file := filepath.Join(c.t.TempDir(), "document.yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return exec.CommandContext(ctx, program, "service", "put", file, "--store", c.storeURL, "--author", "e2e",
		"--expect-revision", fmt.Sprint(expected)).CombinedOutput()
}

func (c *cluster) addEntry(id string) *entry {
	return c.addEntryIn("east", id)
}

func (c *cluster) addEntryIn(region, id string) *entry {
	e := &entry{id: id, region: region, callers: freeAddress(), links: freeAddress(), admin: freeAddress()}
	e.advertised = e.links
	if c.options.relays {
		e.relay = newRelay(c.t, e.links)
		e.advertised = e.relay.address
		e.store = newRelay(c.t, strings.TrimPrefix(c.storeURL, "http://"))
	}
	c.entries = append(c.entries, e)
	c.startEntry(e)
	return e
}

// startEntry starts an entry, also again after it ended.
func (c *cluster) startEntry(e *entry) {
	store := c.storeURL
	if e.store != nil {
		store = "http://" + e.store.address
	}
	arguments := []string{
		"entry", "--id", e.id, "--data-centre", "ilica", "--region", e.region,
		"--caller-address", e.callers, "--link-address", e.links, "--advertise-address", e.advertised,
		"--admin-address", e.admin, "--admin-token", token, "--link-token", linkToken, "--store", store,
		"--peers", strings.Join(c.linkAddresses(), ","),
	}
	if !c.options.defaultTimes {
		arguments = append(arguments, "--lease-ttl", leaseTTL.String(), "--expulsion-delay", expulsionDelay.String(),
			"--readiness-delay", readinessDelay.String(), "--store-timeout", "1s")
	}
	arguments = append(arguments, c.options.arguments...)
	e.process = start(c.t, e.id, arguments...)
}

func (c *cluster) linkAddresses() []string {
	var addresses []string
	for _, e := range c.entries {
		addresses = append(addresses, e.advertised)
	}
	return addresses
}

func (c *cluster) addAgent(id string) *agent {
	u := &upstream{name: "up-" + id, tasks: freeAddress(), control: freeAddress()}
	c.upstreams = append(c.upstreams, u)
	c.startUpstream(u)
	a := &agent{id: id, admin: freeAddress(), region: c.options.regions[len(c.agents)%len(c.options.regions)], upstream: u}
	c.agents = append(c.agents, a)
	c.startAgent(a)
	return a
}

func (c *cluster) startUpstream(u *upstream) {
	u.process = start(c.t, u.name, "stand-in", "upstream", "--name", u.name, "--address", u.tasks,
		"--control-address", u.control)
	c.eventually(5*time.Second, u.name+" listens", func() error {
		return c.getJSON("http://"+u.control+"/counters", new(map[string]any))
	})
}

func (c *cluster) startAgent(a *agent) {
	arguments := append([]string{
		"agent", "--id", a.id, "--data-centre", "ilica", "--region", a.region,
		"--services", service + "," + homeService, "--entries", strings.Join(c.linkAddresses(), ","), "--upstream", "http://" + a.upstream.tasks,
		"--link-token", linkToken, "--admin-address", a.admin, "--admin-token", token,
		"--slots", fmt.Sprint(c.options.slots),
	}, c.options.arguments...)
	a.process = start(c.t, a.id, arguments...)
}

// client reads operator and control endpoints.
var client = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (c *cluster) getJSON(url string, into any) error {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := client.Do(request)
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

// send makes a request with a JSON body to a control endpoint and fails the test when it is refused.
func (c *cluster) send(method, url string, body any) {
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
	response, err := client.Do(request)
	if err != nil {
		c.t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		c.t.Fatalf("%s %s: status %d", method, url, response.StatusCode)
	}
}

func (c *cluster) upstreamFaults(u *upstream, faults map[string]any) {
	c.t.Helper()
	c.send(http.MethodPut, "http://"+u.control+"/faults", faults)
}

// eventually waits until the check passes and fails the test after the limit.
func (c *cluster) eventually(limit time.Duration, what string, check func() error) {
	c.t.Helper()
	deadline := time.Now().Add(limit)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			c.t.Fatalf("not within %v: %s: %v", limit, what, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
