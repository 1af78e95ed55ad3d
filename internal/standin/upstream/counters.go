package upstream

import (
	"encoding/hex"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxTrackedTasks bounds the number of tasks in a Ledger, which take about 40 bytes each.
const maxTrackedTasks = 8 << 20

// Counters counts what the server has done since it was created.
type Counters struct {
	// Starts counts the starts of tasks, and DoubleStarts those of a task that had been started before. This is not known
	// for Unlabelled starts, which had no valid task header, and for Untracked starts, for which the Ledger was full.
	Starts       uint64 `json:"starts"`
	DoubleStarts uint64 `json:"double_starts"`
	Unlabelled   uint64 `json:"unlabelled"`
	Untracked    uint64 `json:"untracked"`
	// Each start ends with one of these outcomes: answered, failed by a fault, cancelled by the client, or reset by a fault.
	Answered  uint64 `json:"answered"`
	Failed    uint64 `json:"failed"`
	Cancelled uint64 `json:"cancelled"`
	Reset     uint64 `json:"reset"`
	// Running is the number of tasks in progress and MaxRunning its maximum.
	Running    int `json:"running"`
	MaxRunning int `json:"max_running"`
}

// Start is one start of a task. Task and Attempt are the values of the request headers, empty if it had none.
type Start struct {
	Upstream, Task, Attempt string
	// ClientAddress is the network address of the client.
	ClientAddress string
	Time          time.Time
}

// taskID is the parsed value of a task header.
type taskID struct {
	key   [16]byte
	index uint16
}

// String returns the value of a task header.
func (id taskID) String() string {
	return hex.EncodeToString(id.key[:]) + "/" + strconv.Itoa(int(id.index))
}

// parseTask parses the value of a Coltsfootspur-Task header, "<key in hex>/<task index>".
func parseTask(header string) (id taskID, ok bool) {
	key, index, _ := strings.Cut(header, "/")
	n, err := hex.Decode(id.key[:], []byte(key[:min(len(key), 2*len(id.key))]))
	if err != nil || n != len(id.key) || len(key) != 2*len(id.key) {
		return taskID{}, false
	}
	i, err := strconv.ParseUint(index, 10, 16)
	if err != nil {
		return taskID{}, false
	}
	id.index = uint16(i)
	return id, true
}

// Ledger counts the starts of each task. Servers that share one also detect a task that was started on two of them. It is
// safe for concurrent use.
type Ledger struct {
	mu     sync.Mutex
	starts map[taskID]uint32
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{starts: make(map[taskID]uint32)} }

// recordStart counts a start and returns the number of earlier starts of the task. tracked is false if the start was not
// counted, because the task is new and the ledger is full.
func (l *Ledger) recordStart(id taskID) (earlierStarts uint32, tracked bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	earlierStarts = l.starts[id]
	if earlierStarts == 0 && len(l.starts) >= maxTrackedTasks {
		return 0, false
	}
	l.starts[id] = earlierStarts + 1
	return earlierStarts, true
}

func (l *Ledger) startsOf(id taskID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.starts[id])
}

// startsByTask returns the number of starts by the value of the task header. A task that was started on two servers with
// ledgers of their own appears in the results of both.
func (l *Ledger) startsByTask() map[string]uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make(map[string]uint32, len(l.starts))
	for id, n := range l.starts {
		list[id.String()] = n
	}
	return list
}

// recorder maintains the counters of one server. It is safe for concurrent use.
type recorder struct {
	ledger   *Ledger
	mu       sync.Mutex
	counters Counters
}

// outcome is how a task ended.
type outcome int

const (
	outcomeAnswered outcome = iota
	outcomeFailed
	outcomeCancelled
	outcomeReset
)

// recordStart counts the start of a task and returns its number of starts including this one, or 0 if that is not known.
func (r *recorder) recordStart(header string) uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.counters
	c.Starts++
	c.Running++
	c.MaxRunning = max(c.MaxRunning, c.Running)
	id, ok := parseTask(header)
	if !ok {
		c.Unlabelled++
		return 0
	}
	earlierStarts, tracked := r.ledger.recordStart(id)
	if !tracked {
		c.Untracked++
		return 0
	}
	if earlierStarts > 0 {
		c.DoubleStarts++
	}
	return earlierStarts + 1
}

func (r *recorder) recordEnd(result outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters.Running--
	switch result {
	case outcomeAnswered:
		r.counters.Answered++
	case outcomeFailed:
		r.counters.Failed++
	case outcomeCancelled:
		r.counters.Cancelled++
	case outcomeReset:
		r.counters.Reset++
	}
}

// Counters returns a copy of the current counters.
func (s *Server) Counters() Counters {
	s.recorder.mu.Lock()
	defer s.recorder.mu.Unlock()
	return s.recorder.counters
}

// Starts returns the number of starts of a task, given by the value of its Coltsfootspur-Task header.
func (s *Server) Starts(task string) int {
	id, ok := parseTask(task)
	if !ok {
		return 0
	}
	return s.recorder.ledger.startsOf(id)
}
