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

// maxRunDuration bounds a run that drives load.
const maxRunDuration = time.Hour

// devSettings are the settings of the subcommand dev.
type devSettings struct {
	log        logSettings
	deployment string
	duration   time.Duration
	seed       int
	scale      float64
	share      float64
	json       bool
	verbose    bool
}

func (s *devSettings) register(set *settings.Set) {
	set.String(&s.deployment, "deployment", "wax", "name of an embedded deployment (wax, mkeka) or path of a file", true)
	set.Duration(&s.duration, "duration", 0, 0, maxRunDuration, "time for which load is driven; 0 stays up without load")
	set.Int(&s.seed, "seed", 1, 0, 1<<31-1, "seed of the load")
	set.Factor(&s.scale, "demand", "factor by which the demand of the deployment is multiplied")
	set.Custom("demand-share", "0", "steady demand as a share of the capacity instead of the swings of the deployment; 0 keeps the swings",
		"number from 0 to 10", share(&s.share))
	set.Bool(&s.json, "json", false, "print the result as one line of JSON and not indented")
	set.Bool(&s.verbose, "verbose", false, "print the logs of all processes")
	s.log.register(set)
}

func devCommand() *subcommand {
	c := newSubcommand("dev", "run a small deployment in one process on loopback, with load or for trials")
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
	if s.share > 0 {
		for i := range d.Services {
			d.Services[i].Load.Demand.Trough, d.Services[i].Load.Demand.Crest = s.share, s.share
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
	return s.drive(ctx, std, cluster, d)
}

// drive puts the load of the deployment on the cluster. The exit code is ExitOK only if no promise was broken.
func (s *devSettings) drive(ctx context.Context, std streams, cluster *devcluster.Cluster, d *deployment.Deployment) int {
	config, err := loadgen.FromDeployment(d, "")
	if err != nil {
		return reportError(std, err, ExitUsage)
	}
	config.Entries = cluster.CallerURLs()
	config.Duration, config.Seed, config.DemandScale = s.duration, uint64(s.seed), s.scale
	config.ClientDelay = d.Network.ToClients
	config.Starts, config.Waste = cluster, cluster
	progress := newProgressLine(std.err)
	if s.verbose {
		progress = nil // it would be mixed with the logs
	}
	return runLoad(ctx, std, config, loadOutput{deployment: d.Name, json: s.json, progress: progress})
}

// maxDemandShare is the largest steady demand, ten times what the upstreams can do.
const maxDemandShare = 10

// share parses a share of the capacity.
func share(target *float64) func(string) error {
	return func(value string) error {
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || !(n >= 0 && n <= maxDemandShare) {
			return eris.New("is out of range")
		}
		*target = n
		return nil
	}
}
