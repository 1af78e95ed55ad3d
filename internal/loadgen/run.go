package loadgen

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

// Run generates the load and returns the result. When ctx ends, no more jobs arrive; jobs in flight still wait for their
// answers, at most for their deadline, the grace period and a resubmission. It returns ErrConfig before anything is sent.
// It returns ErrCounters without a result if the counters cannot be read before the run, and together with the result if
// they cannot be read after it.
func Run(ctx context.Context, config Config) (*Result, error) {
	config, err := config.normalise()
	if err != nil {
		return nil, err
	}
	before, err := readCounters(ctx, &config)
	if err != nil {
		return nil, err
	}
	r := newRecorder(&config)
	loadStart := config.Clock.Now()
	if err := generate(ctx, &config, r, loadStart); err != nil {
		return nil, err
	}
	result := r.finish(config.Clock.Now().Sub(loadStart))
	after, err := readCounters(context.WithoutCancel(ctx), &config)
	if err != nil {
		return result, err
	}
	after.increaseSince(before).applyTo(result, r.completeTasks)
	return result, nil
}

// generate sends every job at its planned arrival and returns when all results have been recorded.
func generate(ctx context.Context, config *Config, r *recorder, loadStart time.Time) error {
	client := newClient(config)
	defer client.close()
	results := make(chan jobResult, config.MaxInFlight)
	g := &generator{config: config, client: client, loadStart: loadStart, results: results}
	g.slots = make(chan struct{}, config.MaxInFlight)
	recorderDone := make(chan struct{})
	go func() {
		defer close(recorderDone)
		r.recordAll(results, func() { r.reportProgress(loadStart, len(g.slots)) })
	}()
	notSent, err := g.sendArrivals(ctx)
	g.inFlight.Wait()
	close(results)
	<-recorderDone
	r.result.NotSent = notSent
	return err
}

// generator runs each job in flight in a goroutine of its own. The capacity of slots limits their number.
type generator struct {
	config    *Config
	client    *client
	loadStart time.Time
	slots     chan struct{}
	inFlight  sync.WaitGroup
	results   chan<- jobResult
}

// sendArrivals starts each job at its planned arrival until the load or ctx ends. It never waits for a job to finish.
func (g *generator) sendArrivals(ctx context.Context) (notSent uint64, err error) {
	planner := newPlanner(g.config)
	// Jobs in flight outlive ctx, so that a run that ends early still records their answers.
	detached := context.WithoutCancel(ctx)
	for plan := planner.next(); plan != nil; plan = planner.next() {
		if !sleep(ctx, g.config.Clock, g.loadStart.Add(plan.arrivalOffset).Sub(g.config.Clock.Now()), nil) {
			return notSent, nil
		}
		select {
		case g.slots <- struct{}{}:
		default:
			notSent++
			continue
		}
		if err := g.startJob(detached, plan); err != nil {
			return notSent, err
		}
	}
	return notSent, nil
}

func (g *generator) startJob(ctx context.Context, plan *plannedJob) error {
	// Keys do not depend on the seed: two runs with the same seed must not share keys.
	key, err := uuid.NewV7()
	if err != nil {
		return eris.Wrap(ErrConfig, err.Error())
	}
	run, err := newJobRun(g.config, g.client, plan, key.String(), g.loadStart)
	if err != nil {
		return err
	}
	g.inFlight.Go(func() {
		defer func() { <-g.slots }()
		g.results <- run.run(ctx, g.loadStart)
	})
	return nil
}
