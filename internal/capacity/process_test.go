// Package capacity measures the resources that one process uses at several deployment sizes. The figures in
// docs/CAPACITY.md are computed from the slopes. The package contains only benchmarks; run them with
//
//	go test -run '^$' -bench . -benchtime 1x -timeout 30m ./internal/capacity
package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	token               = "capacity"
	servicePrefix       = "bench"
	clockTicksPerSecond = 100 // USER_HZ of Linux
	pageSizeBytes       = 4096
)

// documentFormat is the format of the service documents, with the name of the service as both arguments. It defines one
// request kind that every agent can run.
const documentFormat = `service: %s
team: team-%s
kinds:
  - name: work
    idempotent: true
    deadline: 30s
    method: POST
    path: /work
`

var binary string

func TestMain(m *testing.M) {
	os.Exit(runMain(m))
}

// runMain builds the program only if benchmarks are run, so that a run of the tests alone costs nothing.
func runMain(m *testing.M) int {
	if !strings.Contains(strings.Join(os.Args, " "), "-test.bench=") {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "coltsfootspur")
	build := exec.Command("go", "build", "-o", binary, "github.com/coltsfootspur/coltsfootspur/apps/coltsfootspur")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", out, err)
		return 1
	}
	return m.Run()
}

// process is one process of the program under measurement.
type process struct {
	command      *exec.Cmd
	adminAddress string
}

func startProcess(b *testing.B, adminAddress string, args ...string) *process {
	b.Helper()
	command := exec.Command(binary, args...)
	command.Stderr = os.Stderr
	if err := command.Start(); err != nil {
		b.Fatal(err)
	}
	p := &process{command: command, adminAddress: adminAddress}
	b.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	return p
}

// cpuSeconds returns the CPU time, user and system, that the process has used.
func (p *process) cpuSeconds(b *testing.B) float64 {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+2:]))
	ticks := 0
	for _, f := range fields[11:13] { // utime and stime
		n, err := strconv.Atoi(f)
		if err != nil {
			b.Fatal(err)
		}
		ticks += n
	}
	return float64(ticks) / clockTicksPerSecond
}

// residentBytes returns the size of the resident memory of the process.
func (p *process) residentBytes(b *testing.B) float64 {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.command.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	pages, err := strconv.Atoi(strings.Fields(string(text))[1])
	if err != nil {
		b.Fatal(err)
	}
	return float64(pages) * pageSizeBytes
}

// metrics returns the numeric top-level metrics that the process publishes for its role, "entry" or "agent".
func (p *process) metrics(b *testing.B, role string) map[string]float64 {
	b.Helper()
	var all map[string]json.RawMessage
	p.getJSON(b, "/debug/vars", &all)
	var roleMetrics map[string]any
	if err := json.Unmarshal(all[role], &roleMetrics); err != nil {
		b.Fatal(err)
	}
	numbers := make(map[string]float64)
	for name, value := range roleMetrics {
		if n, ok := value.(float64); ok {
			numbers[name] = n
		}
	}
	return numbers
}

func (p *process) getJSON(b *testing.B, path string, target any) {
	b.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+p.adminAddress+path, nil)
	if err != nil {
		b.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(target); err != nil {
		b.Fatal(err)
	}
}

// waitReady waits until the readiness endpoint of the process answers with status 200.
func (p *process) waitReady(b *testing.B) {
	b.Helper()
	waitFor(b, "the process is ready", func() bool {
		response, err := http.Get("http://" + p.adminAddress + "/readyz")
		if err != nil {
			return false
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

func waitFor(b *testing.B, description string, condition func() bool) {
	b.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			b.Fatalf("timed out waiting until %s", description)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// freeAddress returns a loopback address with a port that is not in use.
func freeAddress(b *testing.B) string {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// deployment is a store and entries that run as separate processes.
type deployment struct {
	storeAddress string
	entries      []*entryProcess
	// revisions maps the name of a service to the latest revision of its document.
	revisions map[string]int
}

type entryProcess struct {
	*process
	callerAddress, linkAddress string
	// storeRelay counts the traffic between the entry and the store.
	storeRelay *relay
}

// startDeployment starts a store and entries and puts the documents of the services. documentSuffix is appended to each
// document, and flags to the command line of each entry.
func startDeployment(b *testing.B, entries, services int, documentSuffix string, flags ...string) *deployment {
	b.Helper()
	d := &deployment{storeAddress: freeAddress(b), revisions: make(map[string]int)}
	startProcess(b, "", "stand-in", "platform", "--listen", d.storeAddress, "--log-level", "error")
	waitFor(b, "the store listens", func() bool {
		conn, err := net.Dial("tcp", d.storeAddress)
		if err != nil {
			return false
		}
		return conn.Close() == nil
	})
	for i := range services {
		d.putDocument(b, serviceName(i), documentSuffix)
	}
	for i := range entries {
		e := &entryProcess{callerAddress: freeAddress(b), linkAddress: freeAddress(b), storeRelay: startRelay(b, d.storeAddress)}
		admin := freeAddress(b)
		args := []string{
			"entry", "--id", fmt.Sprintf("entry-%02d", i), "--data-centre", "dc",
			"--caller-address", e.callerAddress, "--link-address", e.linkAddress, "--admin-address", admin, "--admin-token", token,
			"--link-token", token, "--store", "http://" + e.storeRelay.address, "--log-level", "error",
		}
		e.process = startProcess(b, admin, append(args, flags...)...)
		e.waitReady(b)
		d.entries = append(d.entries, e)
	}
	return d
}

func serviceName(i int) string { return fmt.Sprintf("%s-%03d", servicePrefix, i) }

// putDocument puts the next revision of a service's document, with suffix appended.
func (d *deployment) putDocument(b *testing.B, name, suffix string) {
	b.Helper()
	file := filepath.Join(b.TempDir(), "document.yaml")
	if err := os.WriteFile(file, fmt.Appendf(nil, documentFormat+"%s", name, name, suffix), 0o600); err != nil {
		b.Fatal(err)
	}
	previousRevision := strconv.Itoa(d.revisions[name])
	d.revisions[name]++
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	put := exec.CommandContext(ctx, binary, "service", "put", file, "--expect-revision", previousRevision,
		"--store", "http://"+d.storeAddress, "--author", "capacity")
	if out, err := put.CombinedOutput(); err != nil {
		b.Fatalf("%s%v", out, err)
	}
}
