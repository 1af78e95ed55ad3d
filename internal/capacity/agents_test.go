package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/clock"
	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

const slotsPerAgent = 8

// answerBody is the answer of every simulated agent to every task.
var answerBody = []byte(`{"ok":true}`)

// agentHandler is a simulated agent that runs in the benchmark process.
type agentHandler interface {
	link.Handler
	link.VersionSource
	// setListVersion sets the version of the list of entries that the agent received in the welcome message.
	setListVersion(version uint64)
}

// simulatedAgent answers every start after a fixed time without an upstream, so that one process can run hundreds of them.
type simulatedAgent struct {
	work        time.Duration
	listVersion atomic.Uint64 // version of the latest list of entries that it has received
}

func (a *simulatedAgent) setListVersion(version uint64) { a.listVersion.Store(version) }

// Versions implements link.VersionSource.
func (a *simulatedAgent) Versions() (list, documents uint64) { return a.listVersion.Load(), 0 }

// OnMessage implements link.Handler.
func (a *simulatedAgent) OnMessage(l *link.Link, m wire.Message) {
	if list, ok := m.(*wire.EntryList); ok {
		a.listVersion.Store(list.Version)
	}
	start, ok := m.(*wire.Start)
	if !ok {
		return
	}
	result := &wire.Result{
		Attempt: start.Attempt, State: wire.AttemptDone, Status: 200, Body: answerBody,
		ServiceMicros: uint32(a.work.Microseconds()), Load: wire.Load{Running: 1},
	}
	if a.work == 0 {
		_ = l.Send(result)
		return
	}
	time.AfterFunc(a.work, func() { _ = l.Send(result) })
}

// OnClose implements link.Handler.
func (a *simulatedAgent) OnClose(*link.Link, error) {}

// connectAgents connects n simulated agents to an entry. Agent i serves the service with the number i modulo services.
func connectAgents(b *testing.B, e *entryProcess, n, services int, work time.Duration) {
	b.Helper()
	for i := range n {
		mustConnect(b, e.linkAddress, newHello(i, serviceName(i%services)), &simulatedAgent{work: work})
	}
}

// newHello returns the hello message of a new incarnation of agent i.
func newHello(i int, services ...string) wire.Hello {
	return wire.Hello{
		Role: wire.RoleAgent, ID: fmt.Sprintf("agent-%04d", i), Incarnation: rand.Uint64(), DataCentre: "dc",
		StartedAt: time.Now(), Services: services, Slots: slotsPerAgent,
	}
}

var agentStats link.Stats

func mustConnect(b *testing.B, address string, hello wire.Hello, agent agentHandler) {
	b.Helper()
	if err := connectAgent(b, address, hello, agent); err != nil {
		b.Fatal(err)
	}
}

// connectAgent connects one simulated agent. The connection is closed at the end of the benchmark.
func connectAgent(b *testing.B, address string, hello wire.Hello, agent agentHandler) error {
	b.Helper()
	options := link.Options{Clock: clock.System{}, Stats: &agentStats, Versions: agent}
	l, welcome, err := link.Dial(context.Background(), link.WebSocketDialer{Token: token}, address, hello, options)
	if err != nil {
		return err
	}
	agent.setListVersion(welcome.List.Version)
	l.Start(agent)
	b.Cleanup(func() { l.Close(link.ErrClosed) })
	return nil
}

// connectConcurrently calls connect for n agents, up to 128 at a time, because agents on separate hosts connect
// concurrently too.
func connectConcurrently(b *testing.B, n int, connect func(i int) error) {
	b.Helper()
	const diallers = 128
	next := make(chan int)
	var wait sync.WaitGroup
	for range diallers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := range next {
				if err := connect(i); err != nil {
					b.Error(err)
				}
			}
		}()
	}
	for i := range n {
		next <- i
	}
	close(next)
	wait.Wait()
}
