package runs

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/job"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// evacuatedReason is why nothing starts while the data centre of the worker is evacuated.
const evacuatedReason = "the data centre is evacuated"

// Parameters of the return of a worker after an evacuation. All entries see many empty workers at the same moment, each offers
// them as many tasks as they have room for, and workers that were idle may be slow.
const (
	// minReturnTime is the time over which the admitted capacity of a worker without cold time grows to the full capacity. It
	// spans some load reports, so that entries see what others have placed; with 500 ms, a replay completed 1% fewer jobs.
	minReturnTime = 250 * time.Millisecond
	// maxReturnTime bounds the time that an announcement can ask for.
	maxReturnTime = 30 * time.Second
	// initialReturnShare is the share of the capacity that is admitted at once. It is two or three of the largest tasks.
	initialReturnShare = 0.25
)

// SetEvacuated records whether the data centre of the worker is evacuated. When an evacuation begins, waiting tasks and those
// whose start was not yet fetched with TakeOutput return to their entries; active runs continue. When it ends, the worker takes
// work again, at first only a share of its capacity.
func (t *Table) SetEvacuated(now time.Time, evacuated bool) {
	if t.evacuated == evacuated {
		return
	}
	t.evacuated = evacuated
	if !evacuated {
		t.returnedAt = now
		t.startWaiting(now)
		return
	}
	t.returnedAt = time.Time{}
	for _, command := range t.commands {
		if r := t.active[command.Ref]; !command.Stop && r != nil && r.state == starting {
			t.endOffer(now, r, wire.RunNotStarted, evacuatedReason)
		}
	}
	t.returnWaiting(now, evacuatedReason)
}

// Evacuated reports whether the data centre of the worker is evacuated.
func (t *Table) Evacuated() bool { return t.evacuated }

// Returning reports whether the worker takes only a share of its capacity because an evacuation has ended recently. The share
// changes without any event.
func (t *Table) Returning(now time.Time) bool {
	if !t.returnedAt.IsZero() && !now.Before(t.returnedAt.Add(t.returnTime())) {
		t.returnedAt = time.Time{}
	}
	return !t.returnedAt.IsZero()
}

// returnTime returns the time from the end of the evacuation until the worker takes its full capacity. The worker is cold until
// then according to its last announcement.
func (t *Table) returnTime() time.Duration {
	if t.announcement == nil {
		return minReturnTime
	}
	coldUntil := t.announcement.at.Add(min(t.announcement.ColdRemaining, maxReturnTime))
	return min(max(coldUntil.Sub(t.returnedAt), minReturnTime), maxReturnTime)
}

// admittedCapacity returns the capacity that runs may use now: that of the worker or, after an evacuation, a share of its
// processor that grows in proportion to the time.
func (t *Table) admittedCapacity(now time.Time) job.Resources {
	capacity := t.Announcement().Capacity
	if !t.Returning(now) {
		return capacity
	}
	elapsed := float64(now.Sub(t.returnedAt)) / float64(t.returnTime())
	share := initialReturnShare + (1-initialReturnShare)*min(max(elapsed, 0), 1)
	capacity.MilliCPU = int64(share * float64(capacity.MilliCPU))
	return capacity
}
