package command

import (
	"context"
	"fmt"

	"github.com/coltsfootspur/coltsfootspur/internal/standin/upstream"
)

func newStandInUpstream() *subcommand {
	c := newSubcommand("upstream", "run a stand-in upstream for tests and experiments")
	o := &upstream.Options{}
	set := c.settings
	set.String(&o.Name, "name", "upstream", "name of the upstream in its answers", false)
	set.String(&o.Address, "address", "127.0.0.1:0", "host:port for tasks", true)
	set.String(&o.ControlAddress, "control-address", "", "host:port for counters and faults; empty turns them off", false)
	set.Factor(&o.Factor, "factor", "factor by which the work time is multiplied; 2 is half the speed")
	set.Bool(&o.Faults.Fail, "fail", false, "answer every task with status 500 at once")
	set.Factor(&o.Faults.SlowdownFactor, "slow",
		"second factor by which the work time is multiplied; a fault that can be changed at run time")
	set.Bool(&o.Faults.Hang, "hang", false, "never answer")
	set.Bool(&o.Faults.Reset, "reset", false, "reset the connection after the work")
	set.Bool(&o.Faults.Refuse, "refuse", false, "refuse connections")
	set.Duration(&o.StopTimeout, "stop-timeout", defaultStopTimeout, minStopTimeout, maxStopTimeout,
		"longest wait of a graceful shutdown")
	c.run = func(ctx context.Context, std streams) int {
		s, err := upstream.New(*o)
		if err != nil {
			return reportError(std, err, ExitUsage)
		}
		fmt.Fprintf(std.out, "tasks %s\ncontrol %s\n", s.URL(), s.ControlURL())
		if err := s.Serve(ctx); err != nil {
			return reportError(std, err, ExitFailure)
		}
		return ExitOK
	}
	return c
}
