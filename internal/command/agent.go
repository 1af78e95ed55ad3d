package command

import (
	"context"
	"math"
	"net/url"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/agent"
	"github.com/coltsfootspur/coltsfootspur/internal/settings"
	"github.com/coltsfootspur/coltsfootspur/platform"
)

// maxResultMB is the largest memory for recorded results in MiB.
const maxResultMB = 1 << 16

// agentSettings holds the settings of the agent role as given by flags and environment variables.
type agentSettings struct {
	set                    *settings.Set
	log                    logSettings
	tls                    tlsSettings
	options                agent.Options
	memoryMB, accelerators int
	resultMB               int
}

func (s *agentSettings) register() {
	set, o := s.set, &s.options
	set.Name(&o.ID, "id", "id of the upstream, unique in the deployment and the same after a restart",
		topologyNamePattern, topologyNameRule)
	sharedSettings{
		dataCentre: &o.DataCentre, region: &o.Region, linkToken: &o.LinkToken, adminAddress: &o.AdminAddress,
		adminToken: &o.AdminToken, retention: &o.Retention, stopTimeout: &o.StopTimeout,
	}.register(set, agent.DefaultRetention)
	set.RequiredList(&o.Services, "services", "services whose tasks the upstream accepts")
	set.Addresses(&o.Entries, "entries", "link addresses of some entries to begin with; the others are learned", true)
	set.Custom("upstream", "", "URL of the upstream", "http URL with a host", s.parseUpstream)
	set.Int(&o.Slots, "slots", agent.DefaultSlots, 1, agent.MaxSlots, "most tasks that run at once")
	set.Int(&o.Connections, "connections", agent.DefaultConnections, 1, agent.MaxConnections, "most connections to the upstream")
	set.Int(&o.Queue, "queue", agent.DefaultQueue, 1, agent.MaxQueue, "most tasks that wait for a slot at the agent")
	set.Int(&s.memoryMB, "memory-mb", 0, 0, math.MaxInt32, "memory in MiB that the worker offers to tasks")
	set.Int(&s.accelerators, "accelerators", 0, 0, math.MaxUint16, "accelerators that the worker offers to tasks")
	set.Int(&o.Records, "records", agent.DefaultRecords, 1, agent.MaxRecords, "most start records that are kept")
	set.Int(&s.resultMB, "result-mb", agent.DefaultResultBytes>>20, 1, maxResultMB, "memory in MiB for recorded results")
	s.tls.register(set, "the operator endpoints")
	s.log.register(set)
	s.addCrossSettingRules()
}

// addCrossSettingRules adds the rules that span several settings of an agent.
func (s *agentSettings) addCrossSettingRules() {
	o := &s.options
	s.set.AddRule(settings.Rule{
		Names:      []string{"records", "slots", "queue"},
		IsViolated: func() bool { return o.Records < o.Slots+o.Queue },
		Problem:    "too few start records for the tasks that run and wait; allowed: records of at least slots plus queue",
	})
	s.set.AddRule(settings.Rule{
		Names:      []string{"connections", "slots"},
		IsViolated: func() bool { return o.Connections < o.Slots },
		Problem:    "each running task holds one connection, so at most as many tasks run at once as there are connections",
		WarnOnly:   true,
	})
}

func (s *agentSettings) parseUpstream(value string) error {
	if value == "" {
		return eris.New("is not set")
	}
	parsed, err := url.Parse(value)
	if err != nil || parsed.Scheme != "http" || parsed.Host == "" {
		return eris.New("is not an allowed URL")
	}
	s.options.UpstreamURL = parsed
	return nil
}

func newAgentCommand() *subcommand {
	c := newSubcommand("agent", "run the agent beside an upstream")
	s := &agentSettings{set: c.settings}
	s.register()
	c.run = s.run
	role := &platform.AgentRole{}
	c.settings.Bool(&role.MoveLongRuns, "move-long-runs", false,
		"with --platform: start a task again elsewhere if its run takes several times its estimate")
	run := func(ctx context.Context, path string, logger log.Interface) error { return role.Run(ctx, path, logger) }
	c.platformMode = newPlatformMode(c.settings, &s.log, run, "move-long-runs")
	return c
}

// run runs the agent until ctx ends and returns the exit code.
func (s *agentSettings) run(ctx context.Context, std streams) int {
	s.options.Log = s.log.logger(std.err)
	logWarnings(s.options.Log, "agent", s.set)
	s.options.MemoryMB = uint32(s.memoryMB)
	s.options.Accelerators = uint16(s.accelerators)
	s.options.ResultBytes = s.resultMB << 20
	var err error
	if s.options.LinkIdentity, s.options.ServerCertificate, err = s.tls.load(s.options.Log); err != nil {
		return reportError(std, err, ExitUsage)
	}
	a, err := agent.New(s.options)
	if err != nil {
		return reportError(std, err, startErrorExitCode(err))
	}
	if err := a.Run(ctx); err != nil {
		return ExitFailure
	}
	return ExitOK
}

// startErrorExitCode returns ExitUsage for an invalid option and ExitFailure for any other error, such as an address that
// cannot be used now.
func startErrorExitCode(err error) int {
	if eris.Is(err, agent.ErrOptions) {
		return ExitUsage
	}
	return ExitFailure
}
