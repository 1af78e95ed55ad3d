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

// loopbackHost is a loopback address that only this test run listens on. Outgoing connections use 127.0.0.1, so they never
// take a port of it, and a process that is started again can bind the same port.
var loopbackHost = fmt.Sprintf("127.%d.%d.1", 64+os.Getpid()>>8&63, os.Getpid()&255)

var lastPort atomic.Int32

// freeAddress returns an address that this run has not used before. It does not test the address with a listener: a process
// that is forked at that moment would inherit the listener and keep the port busy.
func freeAddress() string {
	const firstPort = 20000
	return fmt.Sprintf("%s:%d", loopbackHost, firstPort+lastPort.Add(1))
}

// process is a running instance of the program. It is killed at the end of the test.
type process struct {
	t       *testing.T
	name    string
	command *exec.Cmd
	logPath string
	exited  chan struct{}
}

// startProcess runs the program with the given arguments.
func startProcess(t *testing.T, name string, arguments ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, command: exec.Command(program, arguments...), exited: make(chan struct{})}
	p.logPath = filepath.Join(t.TempDir(), name+".log")
	output, err := os.Create(p.logPath)
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
		close(p.exited)
	}()
	t.Cleanup(p.cleanup)
	return p
}

func (p *process) cleanup() {
	if p.running() {
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
	text, _ := os.ReadFile(p.logPath)
	for _, marker := range []string{"panic:", "fatal error:", "DATA RACE"} {
		if bytes.Contains(text, []byte(marker)) {
			p.t.Errorf("%s: the log contains %q", p.name, marker)
		}
	}
	if p.t.Failed() {
		p.printLogTail(text)
	}
}

// printLogTail writes the end of the process's log to the test log.
func (p *process) printLogTail(text []byte) {
	const maxShownBytes = 6 << 10
	if len(text) > maxShownBytes {
		text = text[len(text)-maxShownBytes:]
	}
	p.t.Logf("--- log of %s\n%s", p.name, bytes.TrimSpace(text))
}

func (p *process) running() bool {
	select {
	case <-p.exited:
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

// kill ends the process immediately, as the loss of its host would.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// pause suspends the process until resume is called; its connections stay open.
func (p *process) pause() { p.signal(syscall.SIGSTOP) }

func (p *process) resume() { p.signal(syscall.SIGCONT) }

// stop asks for a graceful shutdown and fails the test when it takes longer than the limit or ends with an error.
func (p *process) stop(limit time.Duration) {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(limit):
		p.t.Errorf("%s did not stop within %v", p.name, limit)
		return
	}
	if code := p.command.ProcessState.ExitCode(); code != 0 {
		p.t.Errorf("%s stopped with exit code %d", p.name, code)
	}
}
