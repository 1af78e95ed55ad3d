package command

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/document"
	"github.com/coltsfootspur/coltsfootspur/internal/standin/consul"
)

const testDocument = "service: bench\nteam: wax\nkinds: [{name: tune}]\n"

// serviceCLI runs the subcommands of the group service against a stand-in store of its own.
type serviceCLI struct {
	*gomega.WithT
	server   *consul.Server
	dir      string
	out, err bytes.Buffer
}

func newServiceCLI(t *testing.T) *serviceCLI {
	g := gomega.NewWithT(t)
	server, err := consul.Start("127.0.0.1:0", consul.Options{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(server.Close)
	return &serviceCLI{WithT: g, server: server, dir: t.TempDir()}
}

// writeFile writes text to a file and returns the path.
func (s *serviceCLI) writeFile(text string) string {
	name := filepath.Join(s.dir, "document.yaml")
	s.Expect(os.WriteFile(name, []byte(text), 0o600)).To(gomega.Succeed())
	return name
}

func (s *serviceCLI) run(args ...string) int { return s.runWith(context.Background(), args...) }

func (s *serviceCLI) runWith(ctx context.Context, args ...string) int {
	s.out.Reset()
	s.err.Reset()
	environment := map[string]string{
		"COLTSFOOTSPUR_STORE": s.server.URL(), "COLTSFOOTSPUR_STORE_TIMEOUT": "200ms",
		"COLTSFOOTSPUR_TIMEOUT": "1s", "COLTSFOOTSPUR_AUTHOR": "ada",
	}
	lookup := func(name string) (string, bool) { v, ok := environment[name]; return v, ok }
	commands, groups := subcommands()
	return run(ctx, append([]string{"service"}, args...), streams{out: &s.out, err: &s.err}, lookup, commands, groups)
}

// errorCode returns the code of the JSON error on the standard output.
func (s *serviceCLI) errorCode() string {
	var answer struct {
		Error jsonError `json:"error"`
	}
	s.Expect(json.Unmarshal(s.out.Bytes(), &answer)).To(gomega.Succeed())
	return answer.Error.Code
}

// Guards against exit codes and JSON codes that change, because scripts depend on them.
func TestServiceExitCodes(t *testing.T) {
	s := newServiceCLI(t)
	valid := s.writeFile(testDocument)
	s.Expect(s.run("put", valid, "--expect-revision", "0", "--json")).To(gomega.Equal(0))
	s.Expect(s.run("put", valid, "--json", "--expect-revision=0")).To(gomega.Equal(3))
	s.Expect(s.errorCode()).To(gomega.Equal("conflict"))
	s.Expect(s.run("get", "none", "--json")).To(gomega.Equal(6))
	s.Expect(s.errorCode()).To(gomega.Equal("not_found"))

	s.Expect(s.server.SetFaults(consul.Faults{DropWrites: -1})).To(gomega.Succeed())
	s.Expect(s.run("put", valid, "--expect-revision", "1", "--json")).To(gomega.Equal(7))
	s.Expect(s.errorCode()).To(gomega.Equal("unclear"))
	s.Expect(s.server.SetFaults(consul.Faults{Down: consul.DownHang})).To(gomega.Succeed())
	for _, args := range [][]string{{"put", valid, "--expect-revision", "1"}, {"get", "bench"}, {"list"}, {"history", "bench"}, {"delete", "bench", "--expect-revision", "1"}} {
		s.Expect(s.run(append(args, "--json")...)).To(gomega.Equal(5), strings.Join(args, " "))
		s.Expect(s.errorCode()).To(gomega.Equal("unreachable"))
	}
	s.Expect(classifyError(eris.Wrap(document.ErrNotIndexed, "bench"))).To(gomega.Equal(errorClass{8, "not_indexed"}))
	s.Expect(s.server.SetFaults(consul.Faults{})).To(gomega.Succeed())
	s.Expect(s.run("put", s.writeFile(testDocument+"home_region: north\n"), "--expect-revision", "1", "--json")).To(gomega.Equal(4))
	s.Expect(s.out.String()).To(gomega.ContainSubstring(`"problems":[{"line":0,"column":0,"field":"home_region"`))
	invalid := s.writeFile("service: bench\nslots: x\n")
	for _, args := range [][]string{{"validate", invalid}, {"put", invalid, "--expect-revision", "1"}} {
		s.Expect(s.run(append(args, "--json")...)).To(gomega.Equal(4))
		s.Expect(s.errorCode()).To(gomega.Equal("invalid"))
	}
}

// Guards against ignored arguments: a misspelt flag or a missing revision must not lead to an edit.
func TestServiceUsage(t *testing.T) {
	s := newServiceCLI(t)
	valid := s.writeFile(testDocument)
	for _, args := range [][]string{
		{"put", valid},
		{"put", valid, "--expect-revison", "0"},
		{"put", "--expect-revision", "0"},
		{"put", valid, valid, "--expect-revision", "0"},
		{"put", valid, "--expect-revision", "-1"},
		{"get"},
		{"list", "bench"},
		{"put", valid, "--expect-revision", "0", "--autor", "bob"},
		{"put", valid, "--expect-revision", "0", "--json=perhaps"},
	} {
		s.Expect(s.run(args...)).To(gomega.Equal(ExitUsage), strings.Join(args, " "))
	}
	s.Expect(s.server.Calls().Total).To(gomega.BeEmpty())
	s.Expect(s.run("put", filepath.Join(s.dir, "none"), "--expect-revision", "0")).To(gomega.Equal(ExitFailure))
}

// Guards against a printed document that differs from the written one, and against lost revisions.
func TestServiceRoundTrip(t *testing.T) {
	s := newServiceCLI(t)
	s.Expect(s.run("put", s.writeFile(testDocument), "--expect-revision", "0")).To(gomega.Equal(ExitOK))
	s.Expect(s.out.String()).To(gomega.Equal("revision 1 of bench was written\n"))
	changed := testDocument + "slots: 4 # <&>\n"
	s.Expect(s.run("put", s.writeFile(changed), "--expect-revision", "1")).To(gomega.Equal(ExitOK))
	s.Expect(s.run("get", "bench")).To(gomega.Equal(ExitOK))
	s.Expect(s.out.String()).To(gomega.Equal(changed))
	s.Expect(s.run("get", "bench", "--revision", "1", "--json")).To(gomega.Equal(ExitOK))
	var first document.Document
	s.Expect(json.Unmarshal(s.out.Bytes(), &first)).To(gomega.Succeed())
	s.Expect([]any{first.Body, first.Author}).To(gomega.Equal([]any{testDocument, "ada"}))

	s.Expect(s.run("delete", "bench", "--expect-revision", "2")).To(gomega.Equal(ExitOK))
	s.Expect(s.run("get", "bench")).To(gomega.Equal(ExitNotFound))
	s.Expect(s.run("list")).To(gomega.Equal(ExitOK))
	s.Expect(s.out.String()).To(gomega.MatchRegexp(`(?m)^bench +3 +deleted .* ada$`))
	s.Expect(s.run("history", "bench", "--json")).To(gomega.Equal(ExitOK))
	var history []document.PastRevision
	s.Expect(json.Unmarshal(s.out.Bytes(), &history)).To(gomega.Succeed())
	s.Expect(history).To(gomega.HaveLen(3))
	s.Expect(s.run("validate", s.writeFile(changed))).To(gomega.Equal(ExitOK))
	s.Expect(s.out.String()).To(gomega.Equal("document of bench is valid\n"))
}

// Guards against a watch that misses an edit, prints other services or does not end.
func TestServiceWatch(t *testing.T) {
	s := newServiceCLI(t)
	other := strings.Replace(testDocument, "bench", "other", 1)
	s.Expect(s.run("put", s.writeFile(testDocument), "--expect-revision", "0")).To(gomega.Equal(ExitOK))
	s.Expect(s.run("put", s.writeFile(other), "--expect-revision", "0")).To(gomega.Equal(ExitOK))
	ctx, cancel := context.WithCancel(t.Context())
	watcher := &serviceCLI{WithT: s.WithT, server: s.server}
	exit := make(chan int, 1)
	go func() { exit <- watcher.runWith(ctx, "watch", "bench", "--json") }()
	s.Eventually(func() uint64 { return s.server.Calls().Total["watch"] }, "5s").Should(gomega.BeNumerically(">=", 2))
	s.Expect(s.run("put", s.writeFile(testDocument), "--expect-revision", "1")).To(gomega.Equal(ExitOK))
	s.Eventually(func() uint64 { return s.server.Calls().Total["watch"] }, "5s").Should(gomega.BeNumerically(">=", 3))
	cancel()
	s.Eventually(exit, 5*time.Second).Should(gomega.Receive(gomega.Equal(ExitOK)))
	s.Expect(strings.Split(strings.TrimSpace(watcher.out.String()), "\n")).To(gomega.HaveExactElements(
		gomega.ContainSubstring(`"service":"bench","revision":1`), gomega.ContainSubstring(`"service":"bench","revision":2`)))
}

// Guards against a stand-in that cannot run as a process of its own.
func TestStandInPlatformRuns(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var out, errs bytes.Buffer
	emptyEnv := func(string) (string, bool) { return "", false }
	args := []string{"stand-in", "platform", "--listen", "127.0.0.1:0"}
	commands, groups := subcommands()
	g.Expect(run(ctx, args, streams{out: &out, err: &errs}, emptyEnv, commands, groups)).To(gomega.Equal(ExitOK))
	g.Expect(errs.String()).To(gomega.ContainSubstring("store is listening"))
}
