package submission

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// discardOnDigestMismatch discards a recovered answer if another body ran under the same key. That happens when the key
// expired and was reused shortly before its home was lost. No answer can be given for either body then.
func (t *Table) discardOnDigestMismatch(now time.Time, e *entry, record *wire.KeyRecord) {
	if e.region == regionUnknown && !sameDigest(e.digest, record.Digest) {
		t.store.insert(record.Key, [16]byte{}, nil, now.Add(t.cfg.Retention))
	}
}

// mergeKey merges the records of one key. Its open tasks are added to r, which is nil if an earlier part is missing.
func (t *Table) mergeKey(now time.Time, source recordSource, record *wire.KeyRecord, r *report) {
	e := t.store.find(record.Key)
	running := e != nil && e.state == stateRunning
	if running && e.epoch == t.epoch {
		t.lateRecords++
	}
	if e != nil && isComplete(e.answer) {
		t.discardOnDigestMismatch(now, e, record)
		return
	}
	k := t.recovered.getOrAdd(record.Key, record, now.Add(t.cfg.Retention+wire.RetentionSlack))
	for _, task := range record.Records {
		id := openTask{record.Key, task.Task}
		switch task.State {
		case wire.AttemptQueued, wire.AttemptRunning:
			t.mergeOpenTask(now, source, id, r)
		case wire.AttemptDone, wire.AttemptUnknown:
			t.mergeEndedTask(k, task)
			t.recovered.closeTask(source, id)
		}
	}
	t.recovered.removeIfEmpty(record.Key)
	if !running {
		t.promoteIfComplete(now, record.Key, k)
	}
}

func (t *Table) mergeOpenTask(now time.Time, source recordSource, task openTask, r *report) {
	t.recovered.addOpen(source, task)
	t.recovered.keys[task.key].openUntil = now.Add(wire.RetentionSlack)
	if r != nil {
		r.openTasks[task] = struct{}{}
	}
}

// mergeEndedTask adds the record of an ended task, without its answer if that would exceed MaxAnswerBytes.
func (t *Table) mergeEndedTask(k *recoveredKey, task wire.TaskRecord) {
	if t.recovered.bytes+t.store.answerBytes+len(task.Body) > t.cfg.MaxAnswerBytes && task.State == wire.AttemptDone {
		task = wire.TaskRecord{Task: task.Task, State: task.State, AnswerDropped: true}
	}
	t.recovered.bytes += k.addEnded(task)
}

// promoteIfComplete turns the records of a key into a finished entry if every task has an answer. The caller does not
// call it while the job still runs here: the records are kept, because the job may end as not_run and be removed.
func (t *Table) promoteIfComplete(now time.Time, key wire.KeyHash, k *recoveredKey) bool {
	answer := k.completeAnswer()
	if answer == nil {
		return false
	}
	t.recovered.remove(key)
	t.store.insert(key, k.digest, limitAnswerSize(answer), now.Add(t.cfg.Retention))
	t.handover.enqueue(key)
	return true
}
