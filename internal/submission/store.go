package submission

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// chunkEntries is the number of entries that are allocated at once.
const chunkEntries = 1024

type entryState uint8

const (
	stateFree     entryState = 0
	stateRunning  entryState = 1
	stateFinished entryState = 2
	// stateReplaced marks a finished entry that was replaced. It is freed when it reaches the front of the queue.
	stateReplaced entryState = 3
)

// regionUnknown is the region of an entry that came from another process.
const regionUnknown = ^uint16(0)

// entry is one submission. Finished entries form a queue in the order of their expiry.
type entry struct {
	key    wire.KeyHash
	digest [16]byte
	// jobOrExpiry is the Job while the submission runs, and the expiry in Unix milliseconds afterwards.
	jobOrExpiry uint64
	// answer is nil while the submission runs, and after the answer of a finished submission was dropped.
	answer *wire.Answer
	next   uint32
	region uint16
	// epoch is the value of Table.epoch when the submission was accepted.
	epoch uint8
	state entryState
}

// store holds the entries. Every operation takes constant time, and expiry takes constant time per expired entry.
type store struct {
	index  map[wire.KeyHash]uint32
	chunks [][]entry
	// free is the head of the list of unused slots. 0 ends a list, so slot 0 is never used.
	free uint32
	// head and tail are the ends of the queue of finished entries. Every entry before oldestAnswer has no answer.
	head, tail, oldestAnswer    uint32
	answerBytes, maxAnswerBytes int
	running                     int
	sequence                    uint32
	regions                     []string
}

func newStore(maxBytes int) store {
	return store{index: make(map[wire.KeyHash]uint32), maxAnswerBytes: maxBytes}
}

func (s *store) at(slot uint32) *entry {
	return &s.chunks[slot/chunkEntries][slot%chunkEntries]
}

func (s *store) find(key wire.KeyHash) *entry {
	slot, ok := s.index[key]
	if !ok {
		return nil
	}
	return s.at(slot)
}

func (s *store) allocate() uint32 {
	if s.free == 0 {
		s.grow()
	}
	slot := s.free
	s.free = s.at(slot).next
	return slot
}

func (s *store) grow() {
	base := uint32(len(s.chunks) * chunkEntries)
	s.chunks = append(s.chunks, make([]entry, chunkEntries))
	for i := base + chunkEntries - 1; i > base; i-- {
		s.release(i)
	}
	if base > 0 {
		s.release(base)
	}
}

func (s *store) release(slot uint32) {
	*s.at(slot) = entry{next: s.free}
	s.free = slot
}

// addRunning adds a running submission.
func (s *store) addRunning(key wire.KeyHash, digest [16]byte, region string, epoch uint8) Job {
	slot := s.allocate()
	s.sequence++
	job := Job(uint64(s.sequence)<<32 | uint64(slot))
	*s.at(slot) = entry{key: key, digest: digest, jobOrExpiry: uint64(job), region: s.regionIndex(region), epoch: epoch, state: stateRunning}
	s.index[key] = slot
	s.running++
	return job
}

// runningEntry returns the entry of a running submission, or nil.
func (s *store) runningEntry(job Job) *entry {
	slot := uint32(job)
	if slot == 0 || int(slot) >= len(s.chunks)*chunkEntries {
		return nil
	}
	e := s.at(slot)
	if e.state != stateRunning || e.jobOrExpiry != uint64(job) {
		return nil
	}
	return e
}

// removeJob removes a running submission.
func (s *store) removeJob(job Job) {
	e := s.runningEntry(job)
	delete(s.index, e.key)
	s.release(uint32(job))
	s.running--
}

// finishJob turns a running submission into a finished one.
func (s *store) finishJob(job Job, answer *wire.Answer, expires time.Time) {
	e := s.runningEntry(job)
	s.running--
	s.appendFinished(uint32(job), e, answer, expires)
}

// insert adds a finished submission. It replaces an existing finished entry of the key.
func (s *store) insert(key wire.KeyHash, digest [16]byte, answer *wire.Answer, expires time.Time) {
	if slot, ok := s.index[key]; ok {
		s.markReplaced(slot)
	}
	slot := s.allocate()
	e := s.at(slot)
	*e = entry{key: key, digest: digest, region: regionUnknown}
	s.index[key] = slot
	s.appendFinished(slot, e, answer, expires)
}

func (s *store) appendFinished(slot uint32, e *entry, answer *wire.Answer, expires time.Time) {
	e.state = stateFinished
	e.jobOrExpiry = uint64(expires.UnixMilli())
	e.answer = answer
	e.next = 0
	if s.tail == 0 {
		s.head = slot
	} else {
		s.at(s.tail).next = slot
	}
	s.tail = slot
	if s.oldestAnswer == 0 {
		s.oldestAnswer = slot
	}
	s.answerBytes += answerSize(answer)
	s.dropOldestAnswers()
}

// markReplaced removes a finished entry from the index and drops its answer. Its slot stays in the queue until it
// expires.
func (s *store) markReplaced(slot uint32) {
	e := s.at(slot)
	delete(s.index, e.key)
	s.dropAnswer(e)
	e.state = stateReplaced
}

// dropOldestAnswers drops the oldest answers until maxAnswerBytes is met. The entries stay, so that their keys are not
// run again.
func (s *store) dropOldestAnswers() {
	for s.answerBytes > s.maxAnswerBytes && s.oldestAnswer != 0 {
		e := s.at(s.oldestAnswer)
		s.dropAnswer(e)
		s.oldestAnswer = e.next
	}
}

func (s *store) dropAnswer(e *entry) {
	s.answerBytes -= answerSize(e.answer)
	e.answer = nil
}

// expire removes the finished entries whose retention window is over.
func (s *store) expire(now time.Time) {
	limit := uint64(now.UnixMilli())
	for s.head != 0 {
		slot := s.head
		e := s.at(slot)
		if e.jobOrExpiry > limit {
			return
		}
		s.head = e.next
		if s.head == 0 {
			s.tail = 0
		}
		if s.oldestAnswer == slot {
			s.oldestAnswer = e.next
		}
		if e.state == stateFinished {
			delete(s.index, e.key)
			s.dropAnswer(e)
		}
		s.release(slot)
	}
}

func (s *store) regionIndex(region string) uint16 {
	for i, r := range s.regions {
		if r == region {
			return uint16(i)
		}
	}
	s.regions = append(s.regions, region)
	return uint16(len(s.regions) - 1)
}

// Sizes in bytes that are counted for an answer, a task and a header in addition to their contents.
const (
	answerOverhead = 96
	taskOverhead   = 64
	headerOverhead = 32
)

func answerSize(a *wire.Answer) int {
	if a == nil {
		return 0
	}
	n := answerOverhead + len(a.Message)
	for i := range a.Tasks {
		n += taskOverhead + contentSize(a.Tasks[i].Headers, a.Tasks[i].Body)
	}
	return n
}

func contentSize(headers []wire.Header, body []byte) int {
	n := len(body)
	for _, h := range headers {
		n += headerOverhead + len(h.Name) + len(h.Value)
	}
	return n
}
