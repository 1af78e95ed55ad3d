package records

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// maxPart is the size in bytes past which a part of Records is closed. One more record of at most
// wire.MaxAnswerBody and its headers still fits the frame.
const maxPart = 2 << 20

// maxPartRecords bounds the number of task records in one part. An entry takes over a part in one step of its control
// goroutine, at about 3 us per record, and other work waits for that long.
const maxPartRecords = 512

// recordOverhead is the size in bytes that is counted for a record besides its answer.
const recordOverhead = 64

// Collect adopts the asker's list, which fences the expelled entry, and returns the records of that entry that now
// belong to the asker, in parts; Last is set in the final one. The records of one key can be spread over parts.
//
// Because of the fencing, later answers under the same list leave out a record only if its attempt was refused, unless
// Expired is set.
//
// If the agent has a newer list than the asker, it returns that list in place of records: what belongs to the asker
// under the newer list may be less than the asker expects. The asker adopts the list and asks again. It returns
// neither when the asker is no active member.
func (t *Table) Collect(now time.Time, c *wire.Collect, asker string, askerIncarnation uint64) ([]*wire.Records, *wire.EntryList) {
	t.Expire(now)
	t.Adopt(c.List)
	if placement.Version(t.list) > placement.Version(c.List) {
		return nil, t.received
	}
	member, ok := placement.Find(t.list, asker, askerIncarnation)
	if !ok || member.State != wire.MemberActive {
		return nil, nil
	}
	t.answers++
	_, expired := t.expired[c.ExpelledIncarnation]
	w := partWriter{template: wire.Records{
		Expelled:            c.Expelled,
		ExpelledIncarnation: c.ExpelledIncarnation,
		ListVersion:         t.list.Version,
		Answer:              t.answers,
		Expired:             expired,
		Round:               c.Round,
	}}
	for r := t.byHome[c.ExpelledIncarnation]; r != nil; r = r.next {
		if placement.MayBeHome(t.list, member, r.id.key) {
			r.collected = r.collected || !r.over()
			w.add(r)
		}
	}
	return w.finish(), nil
}

type jobID struct {
	key    wire.KeyHash
	digest [16]byte
}

type partWriter struct {
	template wire.Records
	parts    []*wire.Records
	// index maps a job to its place in the open part. A key that expired and was used again can have two jobs.
	index map[jobID]int
	bytes int
	count int
}

func (w *partWriter) add(r *record) {
	if len(w.parts) == 0 || w.bytes >= maxPart || w.count >= maxPartRecords {
		w.open()
	}
	part := w.parts[len(w.parts)-1]
	id := jobID{r.id.key, r.digest}
	i, ok := w.index[id]
	if !ok {
		i = len(part.Keys)
		part.Keys = append(part.Keys, wire.KeyRecord{Key: r.id.key, Tasks: r.tasks, Digest: r.digest})
		w.index[id] = i
	}
	part.Keys[i].Done = append(part.Keys[i].Done, r.taskRecord())
	w.bytes += r.bytes + recordOverhead
	w.count++
}

func (w *partWriter) open() {
	part := w.template
	part.Part = uint16(len(w.parts))
	w.parts = append(w.parts, &part)
	w.index = make(map[jobID]int)
	w.bytes = 0
	w.count = 0
}

func (w *partWriter) finish() []*wire.Records {
	if len(w.parts) == 0 {
		w.open()
	}
	w.parts[len(w.parts)-1].Last = true
	return w.parts
}

func (r *record) taskRecord() wire.TaskRecord {
	record := wire.TaskRecord{Task: r.id.task, State: r.state}
	if r.state != wire.AttemptDone {
		return record
	}
	if r.result == nil {
		record.Dropped = true
		return record
	}
	record.Status = r.result.Status
	record.Headers = r.result.Headers
	record.Body = r.result.Body
	return record
}
