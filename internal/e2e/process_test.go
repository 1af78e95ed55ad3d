package e2e_test

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// host is an address of loopback that only this run uses, so that a port that was free once is still free when a
// process is started again: connections that go out use 127.0.0.1.
var host = fmt.Sprintf("127.%d.%d.1", 64+os.Getpid()>>8&63, os.Getpid()&255)

var lastPort atomic.Int32

// freeAddress returns an address that this run has not used. It is not tried out: a process that is being forked at that
// moment would inherit the listener and keep the port busy.
func freeAddress() string {
	const firstPort = 20000
	return fmt.Sprintf("%s:%d", host, firstPort+lastPort.Add(1))
}

// process is one process of the program. It is ended at the end of the test.
type process struct {
	t       *testing.T
	name    string
	command *exec.Cmd
	log     string
	ended   chan struct{}
}

// start runs the program with the given arguments.
func start(t *testing.T, name string, arguments ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, command: exec.Command(program, arguments...), ended: make(chan struct{})}
	p.log = filepath.Join(t.TempDir(), name+".log")
	output, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	p.command.Stdout, p.command.Stderr = output, output
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	_ = output.Close()
	go func() {
		_ = p.command.Wait()
		close(p.ended)
	}()
	t.Cleanup(p.cleanup)
	return p
}

func (p *process) cleanup() {
	if p.running() {
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
	text, _ := os.ReadFile(p.log)
	for _, sign := range []string{"panic:", "fatal error:", "DATA RACE"} {
		if bytes.Contains(text, []byte(sign)) {
			p.t.Errorf("%s: the log has %q", p.name, sign)
		}
	}
	if p.t.Failed() {
		p.printLog(text)
	}
}

// printLog shows the end of the log of the process.
func (p *process) printLog(text []byte) {
	const shown = 6 << 10
	if len(text) > shown {
		text = text[len(text)-shown:]
	}
	p.t.Logf("--- log of %s\n%s", p.name, bytes.TrimSpace(text))
}

func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) {
	if p.running() {
		_ = p.command.Process.Signal(s)
	}
}

// kill ends the process at once, as the loss of its host does.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// freeze stops the process until thaw; its connections stay open.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }

func (p *process) thaw() { p.signal(syscall.SIGCONT) }

// stop asks for a graceful shutdown and fails the test when it takes longer than the limit or ends with an error.
func (p *process) stop(limit time.Duration) {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(limit):
		p.t.Errorf("%s did not stop within %v", p.name, limit)
		return
	}
	if code := p.command.ProcessState.ExitCode(); code != 0 {
		p.t.Errorf("%s stopped with exit code %d", p.name, code)
	}
}
