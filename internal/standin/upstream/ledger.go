package upstream

import (
	"encoding/hex"
	"strconv"
	"strings"
	"sync"
)

// maxTracked bounds the memory for counting starts by task (about 40 bytes each).
const maxTracked = 8 << 20

// Counters is what the server did since it was created.
type Counters struct {
	// Starts counts tasks that began, and DoubleStarts those among them whose task had begun before. Unlabelled and
	// Untracked starts cannot be told to be double: they had no task header, or the table was full.
	Starts       uint64 `json:"starts"`
	DoubleStarts uint64 `json:"double_starts"`
	Unlabelled   uint64 `json:"unlabelled"`
	Untracked    uint64 `json:"untracked"`
	// Each start ends as one of these: answered, failed on demand, cancelled by the client, or reset on demand.
	Answered  uint64 `json:"answered"`
	Failed    uint64 `json:"failed"`
	Cancelled uint64 `json:"cancelled"`
	Reset     uint64 `json:"reset"`
	// Running is the number of tasks in progress and MaxRunning its maximum.
	Running    int `json:"running"`
	MaxRunning int `json:"max_running"`
}

type taskID struct {
	key   [16]byte
	index uint16
}

// parseTask reads a Coltsfootspur-Task header, "<key in hex>/<task index>".
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

// ledger counts. It is safe for concurrent use.
type ledger struct {
	mu       sync.Mutex
	counters Counters
	starts   map[taskID]uint32
}

// ending is how a task ended.
type ending int

const (
	answered ending = iota
	failed
	cancelled
	reset
)

// begin counts the start of a task and returns how often it has started, including this time; 0 when it is not known.
func (l *ledger) begin(header string) uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &l.counters
	c.Starts++
	c.Running++
	c.MaxRunning = max(c.MaxRunning, c.Running)
	id, ok := parseTask(header)
	if !ok {
		c.Unlabelled++
		return 0
	}
	before := l.starts[id]
	if before == 0 && len(l.starts) >= maxTracked {
		c.Untracked++
		return 0
	}
	if before > 0 {
		c.DoubleStarts++
	}
	l.starts[id] = before + 1
	return before + 1
}

func (l *ledger) end(how ending) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counters.Running--
	switch how {
	case answered:
		l.counters.Answered++
	case failed:
		l.counters.Failed++
	case cancelled:
		l.counters.Cancelled++
	case reset:
		l.counters.Reset++
	}
}

// Counters returns what the server did so far.
func (s *Server) Counters() Counters {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	return s.ledger.counters
}

// Starts returns how often the task of a Coltsfootspur-Task header began.
func (s *Server) Starts(task string) int {
	id, ok := parseTask(task)
	if !ok {
		return 0
	}
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	return int(s.ledger.starts[id])
}
