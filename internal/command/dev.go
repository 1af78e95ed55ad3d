package command

import (
	"context"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/deployment"
	"github.com/coltsfootspur/coltsfootspur/internal/devcluster"
	"github.com/coltsfootspur/coltsfootspur/internal/loadgen"
	"github.com/coltsfootspur/coltsfootspur/internal/settings"
)

// maxRunDuration is the longest time for which the subcommand dev generates load.
const maxRunDuration = time.Hour

// devSettings holds the settings of the subcommand dev.
type devSettings struct {
	log         logSettings
	deployment  string
	duration    time.Duration
	seed        int
	demandScale float64
	demandShare float64
	compactJSON bool
	verbose     bool
}

func (s *devSettings) register(set *settings.Set) {
	set.String(&s.deployment, "deployment", "wax", "name of an embedded deployment (wax, mkeka) or path of a file", true)
	set.Duration(&s.duration, "duration", 0, 0, maxRunDuration,
		"time for which load is generated; 0 runs without load until stopped")
	set.Int(&s.seed, "seed", 1, 0, 1<<31-1, "seed of the load")
	set.Factor(&s.demandScale, "demand", "factor by which the demand of the deployment is multiplied")
	set.Custom("demand-share", "0", "constant demand as a share of the capacity; 0 for the varying demand of the deployment",
		"number from 0 to 10", demandShareParser(&s.demandShare))
	set.Bool(&s.compactJSON, "json", false, "print the result as one line of JSON instead of indented JSON")
	set.Bool(&s.verbose, "verbose", false, "print the logs of all processes")
	s.log.register(set)
}

func newDevCommand() *subcommand {
	c := newSubcommand("dev", "run a small deployment in one process on loopback, with generated load or for manual tests")
	s := &devSettings{}
	s.register(c.settings)
	c.run = s.run
	return c
}

func (s *devSettings) run(ctx context.Context, std streams) int {
	d, err := deployment.Load(s.deployment)
	if err != nil {
		return reportError(std, err, ExitUsage)
	}
	if s.demandShare > 0 {
		for i := range d.Services {
			d.Services[i].Load.Demand.Trough, d.Services[i].Load.Demand.Crest = s.demandShare, s.demandShare
		}
	}
	options := devcluster.Options{Deployment: d}
	if s.verbose {
		options.Log = s.log.logger(std.err)
	}
	cluster, err := devcluster.Start(ctx, options)
	if err != nil {
		return reportError(std, err, ExitFailure)
	}
	defer cluster.Close()
	if s.duration == 0 {
		cluster.Describe(std.out)
		<-ctx.Done()
		return ExitOK
	}
	return s.applyLoad(ctx, std, cluster, d)
}

// applyLoad applies the load of the deployment to the cluster. The exit code is ExitOK only if no guarantee was violated.
func (s *devSettings) applyLoad(ctx context.Context, std streams, cluster *devcluster.Cluster, d *deployment.Deployment) int {
	config, err := loadgen.FromDeployment(d, "")
	if err != nil {
		return reportError(std, err, ExitUsage)
	}
	config.Entries = cluster.CallerURLs()
	config.Duration, config.Seed, config.DemandScale = s.duration, uint64(s.seed), s.demandScale
	config.ClientDelay = d.Network.ToClients
	config.StartCounter, config.WasteCounter = cluster, cluster
	progress := newProgressLine(std.err)
	if s.verbose {
		progress = nil // the progress line would be interleaved with the logs
	}
	return runLoad(ctx, std, config, loadOutput{deploymentName: d.Name, compactJSON: s.compactJSON, progress: progress})
}

// maxDemandShare is the largest constant demand, ten times the capacity of the upstreams.
const maxDemandShare = 10

// demandShareParser returns a function that parses a share of the capacity and stores it in target.
func demandShareParser(target *float64) func(string) error {
	return func(value string) error {
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || !(n >= 0 && n <= maxDemandShare) {
			return eris.New("is out of range")
		}
		*target = n
		return nil
	}
}
