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

const slots = 8

// answerBody is the answer of every light agent.
var answerBody = []byte(`{"ok":true}`)

// agentHandler is an agent that runs in this process.
type agentHandler interface {
	link.Handler
	link.State
	// adopted tells the agent the version of the list of entries that it was welcomed with.
	adopted(version uint64)
}

// lightAgent answers every start after a fixed time. Many of them fit into one process.
type lightAgent struct {
	work time.Duration
	list atomic.Uint64 // version of the list of entries that it was sent
}

func (a *lightAgent) adopted(version uint64) { a.list.Store(version) }

// Versions implements link.State.
func (a *lightAgent) Versions() (list, documents uint64) { return a.list.Load(), 0 }

// OnMessage implements link.Handler.
func (a *lightAgent) OnMessage(l *link.Link, m wire.Message) {
	if list, ok := m.(*wire.EntryList); ok {
		a.list.Store(list.Version)
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
func (a *lightAgent) OnClose(*link.Link, error) {}

// connectAgents connects n light agents to an entry. Agent i serves service i modulo services.
func connectAgents(b *testing.B, e *entryProcess, n, services int, work time.Duration) {
	b.Helper()
	for i := range n {
		mustConnect(b, e.links, newHello(i, serviceName(i%services)), &lightAgent{work: work})
	}
}

// newHello returns the hello of a run of agent i.
func newHello(i int, services ...string) wire.Hello {
	return wire.Hello{
		Role: wire.RoleAgent, ID: fmt.Sprintf("agent-%04d", i), Incarnation: rand.Uint64(), DataCentre: "dc",
		StartedAt: time.Now(), Services: services, Slots: slots,
	}
}

var agentStats link.Stats

func mustConnect(b *testing.B, address string, hello wire.Hello, agent agentHandler) {
	b.Helper()
	if err := connectAgent(b, address, hello, agent); err != nil {
		b.Fatal(err)
	}
}

// connectAgent connects one light agent until the benchmark ends.
func connectAgent(b *testing.B, address string, hello wire.Hello, agent agentHandler) error {
	b.Helper()
	options := link.Options{Clock: clock.System{}, Stats: &agentStats, State: agent}
	l, welcome, err := link.Dial(context.Background(), link.WebSocketDialer{Token: token}, address, hello, options)
	if err != nil {
		return err
	}
	agent.adopted(welcome.List.Version)
	l.Start(agent)
	b.Cleanup(func() { l.Close(link.ErrClosed) })
	return nil
}

// connectAll calls connect for n agents, many at the same time as hosts of their own would.
func connectAll(b *testing.B, n int, connect func(i int) error) {
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
