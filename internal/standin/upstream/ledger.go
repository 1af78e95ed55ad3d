package upstream

import (
	"encoding/hex"
	"strconv"
	"strings"
	"sync"
	"time"
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

// Start is one task that began. Task and Attempt are the headers of the request; they are empty when it had none.
type Start struct {
	Upstream, Task, Attempt string
	// From is the address of the client.
	From string
	At   time.Time
}

type taskID struct {
	key   [16]byte
	index uint16
}

// String returns the value of a task header.
func (id taskID) String() string {
	return hex.EncodeToString(id.key[:]) + "/" + strconv.Itoa(int(id.index))
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

// Ledger counts how often each task began. Servers that share one also find a task that began on two of them. It is safe
// for concurrent use.
type Ledger struct {
	mu     sync.Mutex
	starts map[taskID]uint32
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{starts: make(map[taskID]uint32)} }

// begin counts a start and returns how often the task began before; tracked is false when the table is full.
func (l *Ledger) begin(id taskID) (before uint32, tracked bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before = l.starts[id]
	if before == 0 && len(l.starts) >= maxTracked {
		return 0, false
	}
	l.starts[id] = before + 1
	return before, true
}

func (l *Ledger) count(id taskID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.starts[id])
}

// list returns how often each task began, by the task header. Together with the lists of other servers it shows a task
// that began on two of them.
func (l *Ledger) list() map[string]uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make(map[string]uint32, len(l.starts))
	for id, n := range l.starts {
		list[id.String()] = n
	}
	return list
}

// tally counts what one server did. It is safe for concurrent use.
type tally struct {
	ledger   *Ledger
	mu       sync.Mutex
	counters Counters
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
func (t *tally) begin(header string) uint32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &t.counters
	c.Starts++
	c.Running++
	c.MaxRunning = max(c.MaxRunning, c.Running)
	id, ok := parseTask(header)
	if !ok {
		c.Unlabelled++
		return 0
	}
	before, tracked := t.ledger.begin(id)
	if !tracked {
		c.Untracked++
		return 0
	}
	if before > 0 {
		c.DoubleStarts++
	}
	return before + 1
}

func (t *tally) end(how ending) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counters.Running--
	switch how {
	case answered:
		t.counters.Answered++
	case failed:
		t.counters.Failed++
	case cancelled:
		t.counters.Cancelled++
	case reset:
		t.counters.Reset++
	}
}

// Counters returns what the server did so far.
func (s *Server) Counters() Counters {
	s.tally.mu.Lock()
	defer s.tally.mu.Unlock()
	return s.tally.counters
}

// Starts returns how often the task of a Coltsfootspur-Task header began.
func (s *Server) Starts(task string) int {
	id, ok := parseTask(task)
	if !ok {
		return 0
	}
	return s.tally.ledger.count(id)
}
