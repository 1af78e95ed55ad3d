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
	// stateDead marks a finished entry that was replaced. It is freed when it reaches the front of the queue.
	stateDead entryState = 3
)

// regionUnknown is the region of an entry that came from another process.
const regionUnknown = ^uint16(0)

// entry is one submission. Finished entries form a queue in the order of their expiry.
type entry struct {
	key    wire.KeyHash
	digest [16]byte
	// number is the Job while the submission runs, then the expiry in Unix milliseconds.
	number uint64
	// answer is nil while the submission runs, and when only the marker is left.
	answer *wire.Answer
	next   uint32
	region uint16
	// epoch counts the incarnations of this entry; it is that in which the submission was accepted.
	epoch uint8
	state entryState
}

// store holds the entries. Every operation takes constant time, expiry constant time per expired entry.
type store struct {
	index  map[wire.KeyHash]uint32
	chunks [][]entry
	// free is the head of the list of unused slots; 0 ends a list, so slot 0 is never used.
	free uint32
	// head and tail are the ends of the queue of finished entries; every entry before oldest is a marker.
	head, tail, oldest uint32
	bytes, maxBytes    int
	running            int
	sequence           uint32
	regions            []string
}

func newStore(maxBytes int) store {
	return store{index: make(map[wire.KeyHash]uint32), maxBytes: maxBytes}
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

// run adds a running submission.
func (s *store) run(key wire.KeyHash, digest [16]byte, region string, epoch uint8) Job {
	slot := s.allocate()
	s.sequence++
	job := Job(uint64(s.sequence)<<32 | uint64(slot))
	*s.at(slot) = entry{key: key, digest: digest, number: uint64(job), region: s.regionIndex(region), epoch: epoch, state: stateRunning}
	s.index[key] = slot
	s.running++
	return job
}

// job returns the entry of a running submission, or nil.
func (s *store) job(job Job) *entry {
	slot := uint32(job)
	if slot == 0 || int(slot) >= len(s.chunks)*chunkEntries {
		return nil
	}
	e := s.at(slot)
	if e.state != stateRunning || e.number != uint64(job) {
		return nil
	}
	return e
}

// forgetJob removes a running submission.
func (s *store) forgetJob(job Job) {
	e := s.job(job)
	delete(s.index, e.key)
	s.release(uint32(job))
	s.running--
}

// finishJob turns a running submission into a finished one.
func (s *store) finishJob(job Job, answer *wire.Answer, expires time.Time) {
	e := s.job(job)
	s.running--
	s.enqueue(uint32(job), e, answer, expires)
}

// insert adds a finished submission. An existing finished entry of the key is replaced.
func (s *store) insert(key wire.KeyHash, digest [16]byte, answer *wire.Answer, expires time.Time) {
	if slot, ok := s.index[key]; ok {
		s.retire(slot)
	}
	slot := s.allocate()
	e := s.at(slot)
	*e = entry{key: key, digest: digest, region: regionUnknown}
	s.index[key] = slot
	s.enqueue(slot, e, answer, expires)
}

func (s *store) enqueue(slot uint32, e *entry, answer *wire.Answer, expires time.Time) {
	e.state = stateFinished
	e.number = uint64(expires.UnixMilli())
	e.answer = answer
	e.next = 0
	if s.tail == 0 {
		s.head = slot
	} else {
		s.at(s.tail).next = slot
	}
	s.tail = slot
	if s.oldest == 0 {
		s.oldest = slot
	}
	s.bytes += answerSize(answer)
	s.dropAnswers()
}

// retire marks a finished entry as replaced.
func (s *store) retire(slot uint32) {
	e := s.at(slot)
	delete(s.index, e.key)
	s.drop(e)
	e.state = stateDead
}

// dropAnswers drops the oldest answers until the byte budget holds. The markers stay.
func (s *store) dropAnswers() {
	for s.bytes > s.maxBytes && s.oldest != 0 {
		e := s.at(s.oldest)
		s.drop(e)
		s.oldest = e.next
	}
}

func (s *store) drop(e *entry) {
	s.bytes -= answerSize(e.answer)
	e.answer = nil
}

// expire forgets the finished entries whose window is over.
func (s *store) expire(now time.Time) {
	limit := uint64(now.UnixMilli())
	for s.head != 0 {
		slot := s.head
		e := s.at(slot)
		if e.number > limit {
			return
		}
		s.head = e.next
		if s.head == 0 {
			s.tail = 0
		}
		if s.oldest == slot {
			s.oldest = e.next
		}
		if e.state == stateFinished {
			delete(s.index, e.key)
			s.drop(e)
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

// Sizes in bytes that are counted for the parts of an answer besides their contents.
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
