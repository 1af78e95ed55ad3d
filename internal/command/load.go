package command

import (
	"context"
	"math"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/coltsfootspur/coltsfootspur/internal/deployment"
	"github.com/coltsfootspur/coltsfootspur/internal/loadgen"
	"github.com/coltsfootspur/coltsfootspur/internal/settings"
)

// Upper bounds of the settings of the load generator.
const (
	maxLoadDuration = 24 * time.Hour
	maxLoadDelay    = 10 * time.Second
	maxInFlight     = 1 << 17
	maxConnections  = 1 << 15
)

// loadSettings holds the settings of the load generator as given by flags and environment variables.
type loadSettings struct {
	log                                          logSettings
	deployment, service, adminToken              string
	entries, upstreams, processes, wastedMetrics []string
	seed                                         int
	compactJSON                                  bool
	config                                       loadgen.Config
}

func (s *loadSettings) register(set *settings.Set) {
	c := &s.config
	set.String(&s.deployment, "deployment", "wax", "name of an embedded deployment, or a deployment file", true)
	set.String(&s.service, "service", "", "service to which load is applied; empty for the first one of the deployment", false)
	set.List(&s.entries, "entries", "127.0.0.1:8080", "host:port addresses or URLs of the entries for callers")
	set.String(&c.Token, "caller-token", "", "bearer token of callers", false)
	set.Duration(&c.Duration, "duration", time.Minute, time.Second, maxLoadDuration, "time during which jobs arrive")
	set.Duration(&c.Grace, "grace", loadgen.DefaultGrace, 100*time.Millisecond, time.Minute,
		"how long after its deadline a job waits for an answer before it counts as lost")
	set.Int(&s.seed, "seed", 1, 0, math.MaxInt, "seed of arrivals, sizes, run times, resubmissions and cancellations; without unit")
	set.Factor(&c.DemandScale, "demand", "factor by which the demand of the deployment is multiplied")
	set.Duration(&c.ClientDelay, "client-delay", 0, 0, maxLoadDelay,
		"one-way delay to callers that the network itself lacks; added twice to response times and to ideal response times")
	set.Duration(&c.RoundTrip, "round-trip", 0, 0, maxLoadDelay,
		"sum of the round trips of the ideal path in the network; added to ideal response times")
	set.Int(&c.MaxInFlight, "max-in-flight", loadgen.DefaultMaxInFlight, 1, maxInFlight,
		"most jobs in flight; arrivals beyond it are not sent")
	set.Int(&c.MaxConnections, "max-connections", loadgen.DefaultMaxConnections, 1, maxConnections, "most connections to all entries together")
	set.List(&s.upstreams, "upstreams", "",
		"control addresses of the stand-in upstreams, whose counters show which tasks were started")
	set.List(&s.processes, "processes", "", "operator addresses of the processes, whose metrics count wasted messages")
	set.String(&s.adminToken, "admin-token", "", "bearer token of the operator endpoints", false)
	set.List(&s.wastedMetrics, "wasted-metrics", "entry.wasted_messages",
		"names of the metrics that count wasted messages; each process has one of them")
	set.Bool(&s.compactJSON, "json", false, "print the result as one line of JSON instead of indented JSON")
	s.log.register(set)
}

// buildConfig returns the configuration of the load run. Errors are those of the deployment or of the service in it.
func (s *loadSettings) buildConfig() (loadgen.Config, error) {
	d, err := deployment.Load(s.deployment)
	if err != nil {
		return loadgen.Config{}, err
	}
	base, err := loadgen.FromDeployment(d, s.service)
	if err != nil {
		return loadgen.Config{}, err
	}
	c := s.config
	c.Service, c.Capacity, c.MinWorkFactor = base.Service, base.Capacity, base.MinWorkFactor
	c.Seed = uint64(s.seed)
	c.Entries = buildURLs(s.entries, "")
	if len(s.upstreams) > 0 {
		c.StartCounter = &loadgen.HTTPStarts{URLs: buildURLs(s.upstreams, "/counters")}
	}
	if len(s.processes) > 0 {
		c.WasteCounter = &loadgen.HTTPWaste{URLs: buildURLs(s.processes, "/debug/vars"), Token: s.adminToken, Paths: s.wastedMetrics}
	}
	return c, nil
}

// buildURLs returns the URL of path at each address. An address is host:port or a URL.
func buildURLs(addresses []string, path string) []string {
	list := make([]string, len(addresses))
	for i, address := range addresses {
		list[i] = baseURL(address) + path
	}
	return list
}

func baseURL(address string) string {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return strings.TrimSuffix(address, "/")
}

func newLoadCommand() *subcommand {
	c := newSubcommand("load", "apply load to running entries, check every answer and print the measurements as JSON")
	s := &loadSettings{}
	s.register(c.settings)
	c.run = s.run
	return c
}

func (s *loadSettings) run(ctx context.Context, std streams) int {
	config, err := s.buildConfig()
	if err != nil {
		return reportError(std, err, ExitUsage)
	}
	logger := s.log.logger(std.err)
	logger.WithFields(log.Fields{"entries": len(config.Entries), "duration": config.Duration, "seed": config.Seed}).Info("load: started")
	return runLoad(ctx, std, config, loadOutput{deploymentName: s.deployment, compactJSON: s.compactJSON, progress: newProgressLine(std.err)})
}
