package command

import (
	"context"
	"math"
	"net/url"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/agent"
	"github.com/coltsfootspur/coltsfootspur/internal/settings"
)

// agentSettings are the settings of the agent role as they come from the command line.
type agentSettings struct {
	log                    logSettings
	options                agent.Options
	memoryMB, accelerators int
	resultMB               int
}

func (s *agentSettings) register(set *settings.Set) {
	o := &s.options
	set.String(&o.ID, "id", "", "id of the upstream, unique in the deployment", true)
	set.String(&o.DataCentre, "data-centre", "", "data centre of this host", true)
	set.String(&o.Region, "region", "", "region of this host", false)
	set.List(&o.Services, "services", "", "services whose tasks the upstream accepts")
	set.List(&o.Entries, "entries", "", "host:port addresses of some entries to begin with")
	set.Custom("upstream", "", "URL of the upstream", "http URL with a host", s.parseUpstream)
	set.String(&o.LinkToken, "link-token", "", "token by which processes of the system authenticate to each other", true)
	set.Int(&o.Slots, "slots", agent.DefaultSlots, 1, agent.MaxSlots, "most tasks that run at once")
	set.Int(&o.Connections, "connections", agent.DefaultConnections, 1, agent.MaxConnections, "most connections to the upstream")
	set.Int(&o.Queue, "queue", agent.DefaultQueue, 1, agent.MaxQueue, "most tasks that wait for a slot at the agent")
	set.Int(&s.memoryMB, "memory-mb", 0, 0, math.MaxInt32, "memory in MiB that the worker offers to tasks")
	set.Int(&s.accelerators, "accelerators", 0, 0, math.MaxUint16, "accelerators that the worker offers to tasks")
	set.Duration(&o.Retention, "retention", agent.DefaultRetention, agent.MinRetention, agent.MaxRetention,
		"how long start records are kept; the same for all processes")
	set.Int(&o.Records, "records", agent.DefaultRecords, 1, agent.MaxRecords, "most start records that are kept")
	set.Int(&s.resultMB, "result-mb", agent.DefaultResultBytes>>20, 1, 1<<16, "memory in MiB for recorded results")
	set.Duration(&o.StopTimeout, "stop-timeout", defaultStopTimeout, minStopTimeout, maxStopTimeout,
		"longest wait of a graceful shutdown")
	set.String(&o.AdminAddress, "admin-address", "", "host:port of the operator endpoints; empty turns them off", false)
	set.String(&o.AdminToken, "admin-token", "", "bearer token of the operator endpoints", false)
	s.log.register(set)
}

func (s *agentSettings) parseUpstream(value string) error {
	parsed, err := url.Parse(value)
	if err != nil || parsed.Scheme != "http" || parsed.Host == "" {
		return eris.New("is not such a URL")
	}
	s.options.Upstream = parsed
	return nil
}

func agentCommand() *subcommand {
	c := newSubcommand("agent", "run the agent beside an upstream")
	s := &agentSettings{}
	s.register(c.settings)
	c.run = func(ctx context.Context, std streams) int {
		s.options.Log = s.log.logger(std.err)
		s.options.MemoryMB = uint32(s.memoryMB)
		s.options.Accelerators = uint16(s.accelerators)
		s.options.ResultBytes = s.resultMB << 20
		a, err := agent.New(s.options)
		if err != nil {
			return usageError(std, err)
		}
		if err := a.Run(ctx); err != nil {
			return ExitFailure
		}
		return ExitOK
	}
	return c
}
