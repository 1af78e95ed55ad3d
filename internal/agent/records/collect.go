package records

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// maxPartBytes is the size in bytes at which a part of Records is closed. The part can exceed it by one record, an answer
// of at most wire.MaxAnswerBody and its headers, and still fits into a frame.
const maxPartBytes = 2 << 20

// maxPartRecords is the maximum number of task records in one part. The control goroutine of an entry imports a part
// without interruption, at about 3 us per record, and other work waits meanwhile.
const maxPartRecords = 512

// recordOverheadBytes is the size that is counted for a record in addition to its answer.
const recordOverheadBytes = 64

// Collect adopts the list of the requesting entry, which fences the expelled entry, and returns the records of the
// expelled entry whose keys the requester may now own. They are returned in parts; Last is set in the final one, and the
// records of one key can be spread over several parts.
//
// Because of the fencing, a record that one answer lists is missing from a later answer under the same list only if its
// attempt was refused, unless the later answer has Incomplete set.
//
// If the agent has a newer list than the requester, Collect returns that list and no records, since the requester may own
// fewer keys under it. The requester adopts the list and repeats the request. Collect returns neither when the requester
// is not an active member.
func (t *Table) Collect(now time.Time, c *wire.Collect, requester string, requesterIncarnation uint64) ([]*wire.Records, *wire.EntryList) {
	t.Expire(now)
	t.Adopt(c.List)
	if placement.Version(t.effectiveList) > placement.Version(c.List) {
		return nil, t.receivedList
	}
	member, ok := placement.Find(t.effectiveList, requester, requesterIncarnation)
	if !ok || member.State != wire.MemberActive {
		return nil, nil
	}
	t.collectAnswers++
	_, omitted := t.omittedHomes[c.ExpelledIncarnation]
	w := partWriter{template: wire.Records{
		Expelled:            c.Expelled,
		ExpelledIncarnation: c.ExpelledIncarnation,
		ListVersion:         t.effectiveList.Version,
		Answer:              t.collectAnswers,
		Incomplete:          omitted,
		Round:               c.Round,
	}}
	for r := t.firstByHome[c.ExpelledIncarnation]; r != nil; r = r.nextOfHome {
		if placement.MayBeHome(t.effectiveList, member, r.id.key) {
			r.collectedOpen = r.collectedOpen || !r.isFinished()
			w.add(r)
		}
	}
	return w.finish(), nil
}

// jobID identifies a job. A key that expired and was used again can have two jobs, which differ in their digest.
type jobID struct {
	key    wire.KeyHash
	digest [16]byte
}

// partWriter splits the records of an answer to Collect into parts.
type partWriter struct {
	template wire.Records
	parts    []*wire.Records
	// jobIndex maps a job to its index in Keys of the current part.
	jobIndex    map[jobID]int
	partBytes   int
	partRecords int
}

func (w *partWriter) add(r *record) {
	if len(w.parts) == 0 || w.partBytes >= maxPartBytes || w.partRecords >= maxPartRecords {
		w.openPart()
	}
	part := w.parts[len(w.parts)-1]
	id := jobID{r.id.key, r.digest}
	i, ok := w.jobIndex[id]
	if !ok {
		i = len(part.Keys)
		part.Keys = append(part.Keys, wire.KeyRecord{Key: r.id.key, Tasks: r.taskCount, Digest: r.digest})
		w.jobIndex[id] = i
	}
	part.Keys[i].Records = append(part.Keys[i].Records, r.taskRecord())
	w.partBytes += r.resultBytes + recordOverheadBytes
	w.partRecords++
}

func (w *partWriter) openPart() {
	part := w.template
	part.Part = uint16(len(w.parts))
	w.parts = append(w.parts, &part)
	w.jobIndex = make(map[jobID]int)
	w.partBytes = 0
	w.partRecords = 0
}

func (w *partWriter) finish() []*wire.Records {
	if len(w.parts) == 0 {
		w.openPart()
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
		record.AnswerDropped = true
		return record
	}
	record.Status = r.result.Status
	record.Headers = r.result.Headers
	record.Body = r.result.Body
	return record
}
