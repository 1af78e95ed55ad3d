package command

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/api"
	"github.com/coltsfootspur/coltsfootspur/internal/loadgen"
)

// runProgram runs the program without environment variables and returns its exit code and its output.
func runProgram(args ...string) (code int, out, errors string) {
	var stdout, stderr bytes.Buffer
	commands, groups := subcommands()
	emptyEnv := func(string) (string, bool) { return "", false }
	code = run(context.Background(), args, streams{out: &stdout, err: &stderr}, emptyEnv, commands, groups)
	return code, stdout.String(), stderr.String()
}

// startFakeProcess serves the operator endpoints of an entry. ready is the status of /readyz.
func startFakeProcess(t *testing.T, ready int) *httptest.Server {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(ready)
		_, _ = w.Write([]byte("leaving the list\n"))
	})
	requireToken := func(body string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Authorization") != "Bearer secret" {
				w.WriteHeader(http.StatusUnauthorized)
				return
			}
			_, _ = w.Write([]byte(body))
		}
	}
	mux.HandleFunc("/dump", requireToken(`{"id":"entry-1","incarnation":12345678901234567891,"data_centre":"a\u001b[2J","store_down":true,
		"list":{"version":5,"members":[{"id":"entry-2","state":2},{"id":"entry-1","state":1}]},
		"submissions":{"PendingMembers":1,"PendingAgents":2},
		"services":{"bench":{"revision":7,"team":"wax","policy":{"Upstreams":2,"Ejected":1,"Waiting":9,"WaitingUrgent":4,
			"OpenAttempts":3,"Overloaded":6,"DeadlineMissed":1}}},
		"agents":{"u1":{"data_centre":"dc-1","services":["bench"],"slots":8,"connected":true,"open_attempts":5},
			"u2":{"data_centre":"dc-2","services":["bench"],"slots":8,"open_attempts":2}}}`))
	mux.HandleFunc("/debug/vars", requireToken(`{"cmdline":["x"],"memstats":{"Alloc":1},
		"entry":{"starts":7,"refusals":{"busy":3,"down":1},"services":{"bench":{"expected_wait_ms":1500}}}}`))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server
}

// Guards against a summary that leaves out state, changes numbers, or passes control characters to the terminal.
func TestStatusOfAnEntry(t *testing.T) {
	g := gomega.NewWithT(t)
	server := startFakeProcess(t, http.StatusOK)
	code, out, errors := runProgram("status", "--admin-address", strings.TrimPrefix(server.URL, "http://"), "--admin-token", "secret")
	g.Expect(errors).To(gomega.BeEmpty())
	g.Expect(code).To(gomega.Equal(ExitOK))
	for _, part := range []string{
		"takes work   yes", "entry-1", "12345678901234567891", `a\x1b[2J`, "version 5: entry-1, entry-2 (leaving)", "busy=3 down=1",
		"waits for 1 entries and 2 agents", "1 of 2 agents, 0 of 0 other entries", "store        not available",
		"bench    wax   7         2          1        9        4       1.5s           3     6           0            1\n",
		"SLOTS  OPEN  SERVICES\nu2     dc-2         no link    8      2     bench\nu1     dc-1         connected  8      5     bench\n",
	} {
		g.Expect(out).To(gomega.ContainSubstring(part))
	}
	_, out, _ = runProgram("status", "--admin-address", server.URL, "--admin-token", "secret", "--rows", "1")
	g.Expect(out).To(gomega.And(gomega.ContainSubstring("and 1 more"), gomega.Not(gomega.ContainSubstring("u1"))))

	code, out, _ = runProgram("status", "--admin-address", startFakeProcess(t, http.StatusServiceUnavailable).URL, "--admin-token", "secret")
	g.Expect(code).To(gomega.Equal(ExitNotReady))
	g.Expect(out).To(gomega.ContainSubstring("no: leaving the list"))
}

// Guards against a tool that reports success although the process cannot be read.
func TestOperatorToolsReportFailure(t *testing.T) {
	g := gomega.NewWithT(t)
	server := startFakeProcess(t, http.StatusOK)
	for _, name := range []string{"status", "dump"} {
		code, out, errors := runProgram(name, "--admin-address", server.URL, "--admin-token", "wrong")
		g.Expect(code).To(gomega.Equal(ExitFailure))
		g.Expect(errors).To(gomega.ContainSubstring("status 401"))
		g.Expect(out).To(gomega.BeEmpty())
		code, _, errors = runProgram(name, "--admin-address", "127.0.0.1:1")
		g.Expect(code).To(gomega.Equal(ExitFailure))
		g.Expect(errors).To(gomega.ContainSubstring("cannot be read"))
		code, _, _ = runProgram(name)
		g.Expect(code).To(gomega.Equal(ExitUsage))
	}
}

// Guards against a dump in which large integers lose digits.
func TestDump(t *testing.T) {
	g := gomega.NewWithT(t)
	server := startFakeProcess(t, http.StatusOK)
	code, out, _ := runProgram("dump", "--admin-address", server.URL+"/", "--admin-token", "secret")
	g.Expect(code).To(gomega.Equal(ExitOK))
	g.Expect(json.Valid([]byte(out))).To(gomega.BeTrue())
	g.Expect(out).To(gomega.ContainSubstring(`"incarnation": 12345678901234567891`))
}

// Guards against violations in a load run that the exit code does not show, and against a result that is not JSON.
func TestLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	answerPartially := false
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if answerPartially {
			_, _ = w.Write([]byte(`{"outcome":"complete","tasks":[]}`))
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = api.Encode(w, &api.Answer{Outcome: api.OutcomeNotRun, Reason: "overloaded"})
	}))
	defer entry.Close()
	load := func() (int, loadgen.Result, string) {
		code, out, errors := runProgram("load", "--entries", entry.URL, "--duration", "1s", "--deployment", "mkeka", "--grace", "100ms")
		var result loadgen.Result
		g.Expect(json.Unmarshal([]byte(out), &result)).To(gomega.Succeed(), errors)
		return code, result, errors
	}
	code, result, _ := load()
	g.Expect(code).To(gomega.Equal(ExitOK))
	g.Expect(result.FailedNotRun).To(gomega.And(gomega.Equal(result.Jobs), gomega.BeNumerically(">", 0)))
	g.Expect(result.Deployment).To(gomega.Equal("mkeka"))
	answerPartially = true
	code, result, errors := load()
	g.Expect(code).To(gomega.Equal(ExitFailure))
	g.Expect(result.Partial).To(gomega.Equal(result.Jobs))
	g.Expect(errors).To(gomega.ContainSubstring("seed 1: "))
	g.Expect(errors).To(gomega.ContainSubstring("jobs with a partial answer (P2)"))
	g.Expect(errors).NotTo(gomega.ContainSubstring("\r"), "progress is for terminals only")
	_, out, _ := runProgram("load", "--entries", entry.URL, "--duration", "1s", "--grace", "100ms", "--json")
	g.Expect(strings.Count(out, "\n")).To(gomega.Equal(1))

	for _, args := range [][]string{{"--deployment", "none"}, {"--service", "none"}, {"--entries", "ftp://x"}, {"--demand", "0"}, {"--demand", "NaN"}} {
		code, _, _ := runProgram(append([]string{"load"}, args...)...)
		g.Expect(code).To(gomega.Equal(ExitUsage), strings.Join(args, " "))
	}
	code, _, errors = runProgram("load", "--entries", entry.URL, "--upstreams", entry.URL)
	g.Expect(code).To(gomega.Equal(ExitFailure))
	g.Expect(errors).To(gomega.ContainSubstring("counters cannot be read"))
}

// Guards against certificate subcommands that replace a key in use, or that issue a certificate that names nothing.
func TestCertificateSubcommands(t *testing.T) {
	g := gomega.NewWithT(t)
	directory := t.TempDir()
	code, out, _ := runProgram("certificate", "authority", "--directory", directory)
	g.Expect(code).To(gomega.Equal(ExitOK))
	g.Expect(out).To(gomega.ContainSubstring("ca-key.pem"))
	code, _, errors := runProgram("certificate", "authority", "--directory", directory)
	g.Expect(code).To(gomega.Equal(ExitFailure))
	g.Expect(errors).To(gomega.ContainSubstring("file exists already"))
	issue := []string{
		"certificate", "issue", "--directory", directory, "--file", "e1",
		"--ca", directory + "/ca.pem", "--ca-key", directory + "/ca-key.pem",
	}
	code, _, errors = runProgram(issue...)
	g.Expect(code).To(gomega.Equal(ExitFailure))
	g.Expect(errors).To(gomega.ContainSubstring("names neither a process nor a host"))
	code, _, _ = runProgram(append(issue, "--entry", "e1")...)
	g.Expect(code).To(gomega.Equal(ExitOK))
}
