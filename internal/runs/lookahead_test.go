package runs_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/coltsfootspur/coltsfootspur/internal/runs"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// rig drives a table and a worker that runs each task for a given time.
type rig struct {
	g      *gomega.WithT
	table  *runs.Table
	worker *fakeWorker
	now    time.Time
	number uint64
	needs  map[uint64]int64
	// startedAt and endsAt are by the number of the offer; ends holds the ends that the table has reported.
	startedAt map[uint64]time.Time
	runFor    map[string]time.Duration
	beganAt   map[runs.Ref]time.Time
	endsAt    map[runs.Ref]time.Time
	ends      map[uint64]wire.RunEnd
}

func newRig(g *gomega.WithT, capacity int64) *rig {
	table, w, now := newTable(g, capacity)
	table.HandleSnapshot(now, now, w.snapshot(0))
	return &rig{
		g: g, table: table, worker: w, now: now, needs: make(map[uint64]int64), startedAt: make(map[uint64]time.Time),
		runFor: make(map[string]time.Duration), beganAt: make(map[runs.Ref]time.Time), endsAt: make(map[runs.Ref]time.Time), ends: make(map[uint64]wire.RunEnd),
	}
}

// offer offers a task that runs for its estimate, as a reservation unless reserve is 0.
func (r *rig) offer(milliCPU int64, estimate, reserve time.Duration) uint64 {
	r.number++
	id := fmt.Sprint(r.number)
	r.needs[r.number], r.runFor[id] = milliCPU, estimate
	r.table.AddOffer(r.now, 1, wire.Offer{
		Number: r.number, Job: id, Attempt: 1, Service: "bench", MilliCPU: milliCPU, EstimateMillis: estimate.Milliseconds(),
		SlackMillis: 500, BudgetMillis: 10_000, ReserveMillis: reserve.Milliseconds(), LateWindowMillis: 1000,
	})
	r.deliver()
	return r.number
}

// deliver carries out the commands of the table.
func (r *rig) deliver() {
	commands, events := r.table.TakeOutput()
	for _, e := range events {
		if e.End != nil {
			r.ends[e.End.Number] = *e.End
			continue
		}
		r.startedAt[e.StartedOffer] = r.now
	}
	for _, c := range commands {
		if c.Stop {
			r.worker.stop(c.Ref)
			continue
		}
		var number uint64
		_, err := fmt.Sscan(c.Task.Job, &number)
		r.g.Expect(err).NotTo(gomega.HaveOccurred())
		r.g.Expect(r.worker.start(c.Ref, r.needs[number])).To(gomega.Succeed())
		r.beganAt[c.Ref], r.endsAt[c.Ref] = r.now, r.now.Add(r.runFor[c.Task.Job])
		r.table.HandleStartResult(r.now, c.Ref, nil)
	}
}

// elapse lets time pass in steps of the tick of an agent's control loop.
func (r *rig) elapse(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(5 * time.Millisecond)
		for ref, at := range r.endsAt {
			if !at.After(r.now) {
				r.worker.end(ref, runs.EndDone)
				delete(r.endsAt, ref)
			}
		}
		snapshot := r.worker.snapshot(r.table.LastProcessedEnd())
		for i, listed := range snapshot.Running {
			began := r.beganAt[listed.Ref]
			snapshot.Running[i].Percent = int(100 * r.now.Sub(began) / max(r.endsAt[listed.Ref].Sub(began), 1))
		}
		r.table.HandleSnapshot(r.now, r.now, snapshot)
		r.deliver()
	}
}

// Guards against a large task that waits behind a stream of small ones that arrive later.
func TestLargeTaskDoesNotStarve(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(g, 16)
	for range 8 {
		r.offer(2, 50*time.Millisecond, 0)
		r.elapse(5 * time.Millisecond)
	}
	large := r.offer(10, 50*time.Millisecond, 160*time.Millisecond)
	for range 20 {
		r.offer(2, 50*time.Millisecond, 0)
		r.elapse(5 * time.Millisecond)
	}
	g.Expect(r.startedAt).To(gomega.HaveKey(large))
	g.Expect(r.worker.overcommitted).To(gomega.BeFalse())
	g.Expect(r.table.Lookahead().Kept).To(gomega.BeEquivalentTo(1))
}

// Guards against capacity that stays idle for a reservation although a short task could use and free it in time, and against
// tasks that delay the reservation.
func TestOnlyTasksThatEndInTimeGoBeforeAReservation(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(g, 16)
	r.offer(12, 100*time.Millisecond, 0)
	large := r.offer(14, 50*time.Millisecond, 160*time.Millisecond)
	short := r.offer(4, 60*time.Millisecond, 0)
	long := r.offer(4, 200*time.Millisecond, 0)
	beside := r.offer(2, 200*time.Millisecond, 0)
	g.Expect(r.startedAt).To(gomega.HaveKey(short))
	g.Expect(r.startedAt).NotTo(gomega.HaveKey(long))
	r.elapse(65 * time.Millisecond)
	g.Expect(r.startedAt).To(gomega.HaveKey(beside), "it fits beside the reservation")
	r.elapse(50 * time.Millisecond)
	g.Expect(r.startedAt).To(gomega.HaveKey(large))
	g.Expect(r.startedAt).NotTo(gomega.HaveKey(long))
	g.Expect(r.table.Lookahead().Backfilled).To(gomega.BeEquivalentTo(2))
}

// Guards against capacity that is held without bound: by a run that exceeds its estimate, for an entry that is gone, for a worker
// that takes no more work, or by more reservations than the bound.
func TestReservationsEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(g, 16)
	r.offer(16, 20*time.Millisecond, 0)
	for ref := range r.endsAt {
		r.endsAt[ref] = r.now.Add(time.Hour) // the run exceeds its estimate
	}
	late := r.offer(4, 50*time.Millisecond, 100*time.Millisecond)
	r.elapse(95 * time.Millisecond)
	g.Expect(r.ends).NotTo(gomega.HaveKey(late))
	r.elapse(10 * time.Millisecond)
	g.Expect(r.ends[late].Reason).To(gomega.Equal("the reservation has expired"))
	g.Expect(r.ends[late].Outcome).To(gomega.Equal(wire.RunNotStarted))

	var held []uint64
	for range 4 {
		held = append(held, r.offer(2, 50*time.Millisecond, time.Second))
	}
	g.Expect(r.ends[held[3]].Reason).To(gomega.Equal("the worker holds other reservations"))
	g.Expect(r.table.Load(r.now).Reservations).To(gomega.Equal(3))
	r.table.WithdrawOffer(r.now, 1, held[0])
	r.table.DropOwner(r.now, 1, r.now.Add(time.Second))
	r.deliver()
	g.Expect(r.table.Load(r.now).Reservations).To(gomega.BeZero())
	g.Expect(r.table.Lookahead()).To(gomega.Equal(runs.Lookahead{Made: 4, Refused: 1, Expired: 1, Released: 3}))

	r = newRig(g, 16)
	r.offer(16, 20*time.Millisecond, 0)
	last := r.offer(4, 50*time.Millisecond, time.Second)
	r.table.MarkUnresponsive(r.now)
	r.deliver()
	g.Expect(r.ends).To(gomega.HaveKey(last))
}

// Guards against a reservation for the capacity of a run that has stalled past its expected end, and against one that relies on the
// estimate of a run whose progress shows that it takes several times as long.
func TestProfileFollowsTheProgressOfRuns(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(g, 64_000)
	r.offer(64_000, 50*time.Millisecond, 0)
	g.Expect(r.table.Load(r.now).Free).To(gomega.Equal([]wire.FreeStep{{}, {Millis: 50, MilliCPU: 64_000}}))
	for ref := range r.endsAt {
		r.endsAt[ref] = r.now.Add(400 * time.Millisecond)
	}
	r.elapse(40 * time.Millisecond)
	g.Expect(r.table.Load(r.now).Free).To(gomega.Equal([]wire.FreeStep{{}}), "at this pace it ends in 360 ms")
	stalled := r.now.Add(500 * time.Millisecond) // no snapshot shows further progress
	g.Expect(r.table.Load(stalled).Free).To(gomega.Equal([]wire.FreeStep{{}}))
}

// Guards against a plan that overstates what is free, against load reports that exceed their bound, and against a reservation that
// is held beyond its time, with random tasks whose run times differ from the estimates.
func TestPlanKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		r := newRig(g, 64_000)
		offeredAt := make(map[uint64]time.Time)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			reserve := rapid.SampledFrom([]time.Duration{0, 160 * time.Millisecond}).Draw(t, "reserve")
			number := r.offer(rapid.Int64Range(1000, 22_000).Draw(t, "needs"), time.Duration(rapid.IntRange(5, 200).Draw(t, "ms"))*time.Millisecond, reserve)
			if reserve > 0 {
				offeredAt[number] = r.now
			}
			for ref := range r.endsAt {
				r.endsAt[ref] = r.endsAt[ref].Add(time.Duration(rapid.IntRange(-20, 40).Draw(t, "deviation")) * time.Millisecond)
				break
			}
			r.elapse(time.Duration(rapid.IntRange(0, 30).Draw(t, "elapsed")) * time.Millisecond)
			for number, at := range offeredAt {
				_, started := r.startedAt[number]
				_, ended := r.ends[number]
				if !started && !ended && r.now.Sub(at) > 165*time.Millisecond {
					t.Fatalf("reservation %d is held for %s", number, r.now.Sub(at))
				}
			}
			load := r.table.Load(r.now)
			encoded, err := cbor.Marshal(load.Free)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			if len(encoded) > 40 {
				t.Fatalf("the profile takes %d bytes", len(encoded))
			}
			used := int64(0)
			for _, n := range r.worker.running {
				used += n
			}
			if len(load.Free) > 0 && load.Free[0].MilliCPU > 64_000-used {
				t.Fatalf("the profile shows %d free, %d are used", load.Free[0].MilliCPU, used)
			}
		}
		if r.worker.overcommitted {
			t.Fatal("the worker is used beyond its capacity")
		}
	})
}

// Measures a load report with a profile, at a worker with 12 runs and 3 waiting tasks.
func BenchmarkLoadWithProfile(b *testing.B) {
	r := newRig(gomega.NewWithT(b), 64_000)
	for i := range 12 {
		r.offer(5000, time.Duration(20+10*i)*time.Millisecond, 0)
	}
	for range 3 {
		r.offer(7000, 60*time.Millisecond, 160*time.Millisecond)
	}
	b.ReportAllocs()
	for range b.N {
		if len(r.table.Load(r.now).Free) == 0 {
			b.Fatal("no profile")
		}
	}
}
