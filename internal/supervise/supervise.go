// Package supervise builds the supervisor tree of a process from functions.
package supervise

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/thejerf/suture/v4"
)

// stopTimeout is how long a stop waits for the services to return. An entry has 250 ms from the end of its caller interface until it is
// killed. The default of the library, 10 s, is longer than any grace period.
const stopTimeout = 150 * time.Millisecond

// Tree restarts the services of a process when they fail.
type Tree struct {
	root *suture.Supervisor
}

// New returns a tree without services. Events of the supervisor, such as restarts, are logged as warnings.
func New(name string, logger log.Interface) *Tree {
	spec := suture.Spec{Timeout: stopTimeout, EventHook: func(e suture.Event) {
		logger.WithField("event", e.String()).Warn(name + ": supervisor event")
	}}
	return &Tree{root: suture.New(name, spec)}
}

// Add adds a service. run must return when its context ends. A return before that is a failure, and the service is
// restarted.
func (t *Tree) Add(name string, run func(ctx context.Context) error) {
	t.root.Add(service{name, run})
}

// Start starts all services. The returned function stops them and waits until they have returned, for up to stopTimeout. It logs a
// warning with the name of each service that has not.
func (t *Tree) Start() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := t.root.ServeBackground(ctx)
	return func() {
		cancel()
		<-ended
	}
}

type service struct {
	name string
	run  func(ctx context.Context) error
}

// Serve implements suture.Service.
func (s service) Serve(ctx context.Context) error { return s.run(ctx) }

// String implements fmt.Stringer for the supervisor.
func (s service) String() string { return s.name }
