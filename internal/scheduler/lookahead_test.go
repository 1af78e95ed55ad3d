package scheduler_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/job"
	"github.com/coltsfootspur/coltsfootspur/internal/runs"
	"github.com/coltsfootspur/coltsfootspur/internal/scheduler"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// reservationFor returns the offer that a scheduler makes for a task of 8 cores and 50 ms when the one worker reports a profile,
// some time after the report; nil if it makes none.
func reservationFor(placement runs.Placement, age time.Duration, load wire.WorkerLoad) *wire.Offer {
	config := scheduler.DefaultConfig("dc")
	config.Placement = placement
	s := scheduler.New(config)
	s.AgentConnected(start, "a", 1, "dc")
	s.SetWorker(start, "a", wire.WorkerInfo{Service: "bench", MilliCPU: 64_000})
	load.Open, load.SlownessPermille, load.FreeMilliCPU, load.RemainingMillis = true, 1000, 1000, 500
	s.ReportLoad(start, "a", load)
	j := newJob("j", 1, queue(0, 2))
	j.Spec.Steps[0].Needs = job.Resources{MilliCPU: 8000}
	now := start.Add(age)
	j.Arrived = now
	s.Submit(now, j)
	messages, _ := s.TakeOutput()
	if len(messages) == 0 {
		return nil
	}
	return messages[0].Offer
}

// Guards against large tasks that wait at the entry while smaller ones take each gap, and against reservations without a place
// for the task in the profile, beyond the bound of the agent, or with the switch off.
func TestReservationFollowsTheProfile(t *testing.T) {
	g := gomega.NewWithT(t)
	soon := wire.WorkerLoad{Free: []wire.FreeStep{{MilliCPU: 1000}, {Millis: 30, MilliCPU: 9000}}}
	offer := reservationFor(runs.PlaceAhead, 0, soon)
	g.Expect(offer).NotTo(gomega.BeNil())
	g.Expect(offer.ReserveMillis).To(gomega.BeEquivalentTo(160))
	g.Expect(reservationFor(runs.PlaceByUrgency, 0, soon)).To(gomega.BeNil())

	late := wire.WorkerLoad{Free: []wire.FreeStep{{MilliCPU: 1000}, {Millis: 70, MilliCPU: 9000}}}
	g.Expect(reservationFor(runs.PlaceAhead, 0, late)).To(gomega.BeNil(), "the wait is too long")
	g.Expect(reservationFor(runs.PlaceAhead, 40*time.Millisecond, late)).NotTo(gomega.BeNil(), "the profile has aged")

	gap := wire.WorkerLoad{Free: []wire.FreeStep{{MilliCPU: 9000}, {Millis: 20, MilliCPU: 2000}, {Millis: 90, MilliCPU: 9000}}}
	g.Expect(reservationFor(runs.PlaceAhead, 0, gap)).To(gomega.BeNil(), "the task would delay a reservation")

	soon.Reservations = 2
	g.Expect(reservationFor(runs.PlaceAhead, 0, soon)).To(gomega.BeNil())
	soon.Reservations, soon.Trial = 0, true
	g.Expect(reservationFor(runs.PlaceAhead, 0, soon)).To(gomega.BeNil())
}

// Guards against late jobs that hold the capacity which others need to be on time, and against two wide jobs that each hold a part
// of what the other needs.
func TestLateAndUnbegunJobsAreNotReserved(t *testing.T) {
	g := gomega.NewWithT(t)
	s := withAgents(64)
	s.ReportLoad(start, "a", wire.WorkerLoad{
		Open: true, SlownessPermille: 1000, FreeMilliCPU: 0, RemainingMillis: 500, Free: []wire.FreeStep{{}, {Millis: 30, MilliCPU: 9000}},
	})
	late := newJob("late", 1, queue(0, 2))
	late.Arrived = start.Add(-time.Second)
	s.Submit(start, late)
	s.Submit(start, newJob("wide", 2, queue(0, 2)))
	s.Submit(start, newJob("punctual", 1, queue(0, 2)))
	s.Advance(start.Add(10 * time.Millisecond))
	messages, _ := s.TakeOutput()
	g.Expect(messages).To(gomega.HaveLen(1))
	g.Expect(messages[0].Offer.Job).To(gomega.Equal("punctual"))
	g.Expect(messages[0].Offer.ReserveMillis).To(gomega.BeNumerically(">", 0))
}
