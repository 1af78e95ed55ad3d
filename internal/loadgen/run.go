package loadgen

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

// Run puts the load on the entries and returns the result. When ctx ends no more jobs arrive; those in flight still wait
// for their answers, at most for their deadline, the grace and a resubmission. It returns ErrConfig before anything was
// sent, and ErrCounters; in the latter case after the run, together with the result.
func Run(ctx context.Context, config Config) (*Result, error) {
	config, err := config.normalised()
	if err != nil {
		return nil, err
	}
	before, err := readCounters(ctx, &config)
	if err != nil {
		return nil, err
	}
	r := newRecorder(&config)
	begin := config.Clock.Now()
	if err := generate(ctx, &config, r, begin); err != nil {
		return nil, err
	}
	result := r.finish(config.Clock.Now().Sub(begin))
	after, err := readCounters(context.WithoutCancel(ctx), &config)
	if err != nil {
		return result, err
	}
	after.since(before).apply(result, r.completeTasks)
	return result, nil
}

// generate sends every job at its time and returns when all of them were recorded.
func generate(ctx context.Context, config *Config, r *recorder, begin time.Time) error {
	client := newClient(config)
	defer client.close()
	results := make(chan jobResult, config.MaxInFlight)
	g := &generator{config: config, client: client, begin: begin, results: results}
	g.slots = make(chan struct{}, config.MaxInFlight)
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		r.recordAll(results, func() { r.report(begin, len(g.slots)) })
	}()
	notSent, err := g.arrivals(ctx)
	g.inFlight.Wait()
	close(results)
	<-recorded
	r.result.NotSent = notSent
	return err
}

// generator starts a goroutine for each job in flight, at most one for each slot.
type generator struct {
	config   *Config
	client   *client
	begin    time.Time
	slots    chan struct{}
	inFlight sync.WaitGroup
	results  chan<- jobResult
}

// arrivals starts each job at its time until the load or ctx ends. It never waits for a job.
func (g *generator) arrivals(ctx context.Context) (notSent uint64, err error) {
	planner := newPlanner(g.config)
	// Jobs in flight outlive ctx, so that a graceful end still sees their answers.
	detached := context.WithoutCancel(ctx)
	for plan := planner.next(); plan != nil; plan = planner.next() {
		if !sleep(ctx, g.config.Clock, g.begin.Add(plan.at).Sub(g.config.Clock.Now()), nil) {
			return notSent, nil
		}
		select {
		case g.slots <- struct{}{}:
		default:
			notSent++
			continue
		}
		if err := g.start(detached, plan); err != nil {
			return notSent, err
		}
	}
	return notSent, nil
}

func (g *generator) start(ctx context.Context, plan *plannedJob) error {
	// The key is not drawn from the seed: two runs with one seed must not share keys.
	key, err := uuid.NewV7()
	if err != nil {
		return eris.Wrap(ErrConfig, err.Error())
	}
	run, err := newJobRun(g.config, g.client, plan, key.String(), g.begin)
	if err != nil {
		return err
	}
	g.inFlight.Go(func() {
		defer func() { <-g.slots }()
		g.results <- run.run(ctx, g.begin)
	})
	return nil
}
