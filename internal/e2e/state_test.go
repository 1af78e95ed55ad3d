package e2e_test

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// entryState is the part of an entry's dump that the tests read.
type entryState struct {
	Incarnation uint64         `json:"incarnation"`
	Ready       bool           `json:"ready"`
	StoreDown   bool           `json:"store_down"`
	List        wire.EntryList `json:"list"`
	Services    map[string]struct {
		Revision uint64 `json:"revision"`
	} `json:"services"`
	Agents map[string]struct {
		Connected    bool `json:"connected"`
		Leaving      bool `json:"leaving"`
		OpenAttempts int  `json:"open_attempts"`
	} `json:"agents"`
	Entries map[string]struct {
		Connected bool `json:"connected"`
	} `json:"entries"`
	Submissions struct{ PendingMembers, PendingAgents, LateRecords int } `json:"submissions"`
	RunningJobs int                                                      `json:"running_jobs"`
}

func (c *cluster) stateOf(e *entry) (s entryState, err error) {
	err = c.getJSON("http://"+e.adminAddress+"/dump", &s)
	return s, err
}

// runningEntriesAndAgents returns the entries and agents whose processes have not exited.
func (c *cluster) runningEntriesAndAgents() (entries []*entry, agents []*agent) {
	for _, e := range c.entries {
		if e.process.running() {
			entries = append(entries, e)
		}
	}
	for _, a := range c.agents {
		if a.process.running() {
			agents = append(agents, a)
		}
	}
	return entries, agents
}

// waitConverged waits until all running entries are ready, list each other as members and are linked to all running agents.
func (c *cluster) waitConverged(limit time.Duration) {
	c.t.Helper()
	c.eventually(limit, "every running entry is linked to all entries and agents", func() error {
		entries, agents := c.runningEntriesAndAgents()
		for _, e := range entries {
			s, err := c.stateOf(e)
			if err != nil {
				return err
			}
			if err := checkConverged(e, s, entries, agents); err != nil {
				return err
			}
		}
		return nil
	})
}

func checkConverged(e *entry, s entryState, entries []*entry, agents []*agent) error {
	if !s.Ready || len(s.List.Members) != len(entries) {
		return fmt.Errorf("%s: ready %v, %d members", e.id, s.Ready, len(s.List.Members))
	}
	if s.Services[defaultService].Revision == 0 || s.Submissions.PendingMembers > 0 {
		return fmt.Errorf("%s: revision %d, %d members pending", e.id, s.Services[defaultService].Revision,
			s.Submissions.PendingMembers)
	}
	for _, m := range s.List.Members {
		if m.ID == e.id && m.Incarnation != s.Incarnation {
			return fmt.Errorf("%s: an older incarnation is in the list", e.id)
		}
	}
	for _, other := range entries {
		if other != e && !s.Entries[other.id].Connected {
			return fmt.Errorf("%s: no link to %s", e.id, other.id)
		}
	}
	for _, a := range agents {
		if !s.Agents[a.id].Connected {
			return fmt.Errorf("%s: no link to %s", e.id, a.id)
		}
	}
	return nil
}

// waitList waits until an entry has a list of entries that passes the check, and returns the list.
func (c *cluster) waitList(e *entry, limit time.Duration, condition string, check func(wire.EntryList) bool) wire.EntryList {
	c.t.Helper()
	var list wire.EntryList
	c.eventually(limit, e.id+": "+condition, func() error {
		s, err := c.stateOf(e)
		if err != nil {
			return err
		}
		list = s.List
		if !check(list) {
			return fmt.Errorf("list %+v", list)
		}
		return nil
	})
	return list
}

// lacksMember returns a check that the list has no member with this id and incarnation.
func lacksMember(id string, incarnation uint64) func(wire.EntryList) bool {
	return func(list wire.EntryList) bool {
		_, ok := placement.Find(&list, id, incarnation)
		return !ok
	}
}

// homeOf returns the home of a key of defaultService.
func (c *cluster) homeOf(key string) *entry {
	c.t.Helper()
	s, err := c.stateOf(c.anyRunningEntry())
	if err != nil {
		c.t.Fatal(err)
	}
	home, _ := placement.Home(&s.List, "", placement.HashKey(defaultService, key))
	for _, e := range c.entries {
		if e.id == home.ID {
			return e
		}
	}
	c.t.Fatalf("no entry is the home of key %s", key)
	return nil
}

func (c *cluster) anyRunningEntry() *entry {
	entries, _ := c.runningEntriesAndAgents()
	return entries[0]
}

// otherEntries returns all entries except one.
func (c *cluster) otherEntries(except *entry) []*entry {
	var rest []*entry
	for _, e := range c.entries {
		if e != except {
			rest = append(rest, e)
		}
	}
	return rest
}

// isReady reports whether the readiness endpoint of an entry or agent returns 200, which is what a load balancer polls.
func isReady(adminAddress string) bool {
	response, err := controlClient.Get("http://" + adminAddress + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startsByTask returns how often each task was started at all upstreams together, by "<key hash>/<index>".
func (c *cluster) startsByTask() (map[string]int, error) {
	total := make(map[string]int)
	for _, u := range c.upstreams {
		counts := u.earlierStarts
		if u.process.running() {
			tasks, err := c.startsByTaskAt(u)
			if err != nil {
				return nil, errors.Join(fmt.Errorf("%s", u.name), err)
			}
			counts = append(counts[:len(counts):len(counts)], tasks)
		}
		for _, tasks := range counts {
			for task, n := range tasks {
				total[task] += n
			}
		}
	}
	return total, nil
}

// startsByTaskAt returns how often each task was started in the current run of an upstream.
func (c *cluster) startsByTaskAt(u *upstream) (tasks map[string]int, err error) {
	err = c.getJSON("http://"+u.controlAddress+"/tasks", &tasks)
	return tasks, err
}

// startsOfKey returns how often the first taskCount tasks of a key were started in total.
func (c *cluster) startsOfKey(key string, taskCount int) int {
	c.t.Helper()
	all, err := c.startsByTask()
	if err != nil {
		c.t.Fatal(err)
	}
	n := 0
	for i := range taskCount {
		n += all[taskID(key, i)]
	}
	return n
}

func taskID(key string, index int) string { return taskIDIn(defaultService, key, index) }

func taskIDIn(service, key string, index int) string {
	return fmt.Sprintf("%x/%d", placement.HashKey(service, key), index)
}

// waitStarted waits until the upstreams have counted taskCount starts for the key.
func (c *cluster) waitStarted(key string, taskCount int) {
	c.t.Helper()
	c.eventually(5*time.Second, "the tasks have started", func() error {
		if n := c.startsOfKey(key, taskCount); n < taskCount {
			return fmt.Errorf("%d of %d tasks", n, taskCount)
		}
		return nil
	})
}
