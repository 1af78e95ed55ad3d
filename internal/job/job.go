// Package job defines a job whose tasks run under leases: its steps, the needs of each task, and the identifiers of its
// tasks. The types have no behaviour beyond validation, so that all parts of the program can share them.
package job

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Limits of a job.
const (
	// MaxTasks is the largest number of tasks in all steps together, which is the size of the largest job of the load
	// target.
	MaxTasks = 140
	// MaxSteps is the largest number of steps.
	MaxSteps = 64
	// MaxPayload is the largest size of the payload in bytes.
	MaxPayload = 4000
	// MaxID is the largest size of an id in bytes, and MaxLabel that of the name of a label or a rack. They bound what an open job
	// keeps of its request. Ids of the load target have up to 40 bytes, names up to 32.
	MaxID    = 1024
	MaxLabel = 256
)

// ErrInvalid means that a job can never run as it is described.
var ErrInvalid = eris.New("invalid job")

// Resources are the needs of a task or the capacity of a worker.
type Resources struct {
	MilliCPU     int64 // thousandths of a core
	MemoryMB     int64
	Accelerators int64
}

// Add returns r + s.
func (r Resources) Add(s Resources) Resources {
	return Resources{r.MilliCPU + s.MilliCPU, r.MemoryMB + s.MemoryMB, r.Accelerators + s.Accelerators}
}

// Sub returns r - s.
func (r Resources) Sub(s Resources) Resources {
	return Resources{r.MilliCPU - s.MilliCPU, r.MemoryMB - s.MemoryMB, r.Accelerators - s.Accelerators}
}

// FitsIn reports whether the needs r fit into the capacity s.
func (r Resources) FitsIn(s Resources) bool {
	return r.MilliCPU <= s.MilliCPU && r.MemoryMB <= s.MemoryMB && r.Accelerators <= s.Accelerators
}

// Step is a group of identical tasks of a job.
type Step struct {
	Tasks    int
	Needs    Resources
	Estimate time.Duration // the caller's rough estimate of the run time of one task
	After    []int         // distinct indexes of earlier steps whose tasks must all be done before a task of this step starts
	// Label is a label that the worker must have; empty means any worker.
	Label string
	// DataRack is the rack on which the tasks run at full speed; empty means any rack.
	DataRack string
	// MaxPerWorker is the largest number of tasks of the step on one worker at once; 0 means no limit.
	MaxPerWorker int
}

// Job is a unit of work that a caller submits and that has one answer.
type Job struct {
	ID      string // chosen by the caller; submissions with the same id are the same job
	Payload string // passed to each task unchanged
	Steps   []Step
}

// TaskCount returns the number of tasks in all steps together.
func (j *Job) TaskCount() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Tasks
	}
	return n
}

// Check returns nil for a valid job. Otherwise it returns ErrInvalid wrapped with the part that is invalid and its limit.
func (j *Job) Check() error {
	switch {
	case j.ID == "":
		return eris.Wrap(ErrInvalid, "the job has no id")
	case len(j.ID) > MaxID:
		return eris.Wrapf(ErrInvalid, "the id has %d bytes, the limit is %d", len(j.ID), MaxID)
	case len(j.Payload) > MaxPayload:
		return eris.Wrapf(ErrInvalid, "the payload has %d bytes, the limit is %d", len(j.Payload), MaxPayload)
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return eris.Wrapf(ErrInvalid, "the job has %d steps, it must have 1 to %d", len(j.Steps), MaxSteps)
	}
	total := 0
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return err
		}
		total += j.Steps[i].Tasks
	}
	if total > MaxTasks {
		return eris.Wrapf(ErrInvalid, "the job has %d tasks, the limit is %d", total, MaxTasks)
	}
	return nil
}

func (s *Step) check(index int) error {
	if s.Tasks < 1 || s.Tasks > MaxTasks {
		return eris.Wrapf(ErrInvalid, "step %d has %d tasks, it must have 1 to %d", index, s.Tasks, MaxTasks)
	}
	if s.Needs.MilliCPU < 0 || s.Needs.MemoryMB < 0 || s.Needs.Accelerators < 0 || s.Estimate < 0 || s.MaxPerWorker < 0 {
		return eris.Wrapf(ErrInvalid, "step %d has a negative resource need, estimate or worker limit", index)
	}
	if len(s.Label) > MaxLabel || len(s.DataRack) > MaxLabel {
		return eris.Wrapf(ErrInvalid, "step %d has a label or a rack of more than %d bytes", index, MaxLabel)
	}
	if len(s.After) > index {
		return eris.Wrapf(ErrInvalid, "step %d depends on %d steps, more than come before it", index, len(s.After))
	}
	for _, dependency := range s.After {
		if dependency < 0 || dependency >= index {
			return eris.Wrapf(ErrInvalid, "step %d depends on step %d, which is not an earlier step", index, dependency)
		}
	}
	return nil
}

// TaskID identifies a task within a deployment.
type TaskID struct {
	Job   string
	Step  int
	Index int
}

// String returns job/step/index, for logs.
func (t TaskID) String() string { return fmt.Sprintf("%s/%d/%d", t.Job, t.Step, t.Index) }
