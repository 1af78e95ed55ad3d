package e2e_test

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// entryState is what the tests read from the dump of an entry.
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
	err = c.getJSON("http://"+e.admin+"/dump", &s)
	return s, err
}

// running returns the entries and agents whose processes have not ended.
func (c *cluster) running() (entries []*entry, agents []*agent) {
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

// waitSettled waits until all running entries know each other as members and are linked to all running agents.
func (c *cluster) waitSettled(limit time.Duration) {
	c.t.Helper()
	c.eventually(limit, "every entry is linked to all others", func() error {
		entries, agents := c.running()
		for _, e := range entries {
			s, err := c.stateOf(e)
			if err != nil {
				return err
			}
			if err := settled(e, s, entries, agents); err != nil {
				return err
			}
		}
		return nil
	})
}

func settled(e *entry, s entryState, entries []*entry, agents []*agent) error {
	if !s.Ready || len(s.List.Members) != len(entries) {
		return fmt.Errorf("%s: ready %v, %d members", e.id, s.Ready, len(s.List.Members))
	}
	if s.Services[service].Revision == 0 || s.Submissions.PendingMembers > 0 {
		return fmt.Errorf("%s: revision %d, %d members pending", e.id, s.Services[service].Revision, s.Submissions.PendingMembers)
	}
	for _, m := range s.List.Members {
		if m.ID == e.id && m.Incarnation != s.Incarnation {
			return fmt.Errorf("%s: an older run is in the list", e.id)
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

// waitList waits until an entry has a list that passes the check.
func (c *cluster) waitList(e *entry, limit time.Duration, what string, check func(wire.EntryList) bool) wire.EntryList {
	c.t.Helper()
	var list wire.EntryList
	c.eventually(limit, e.id+": "+what, func() error {
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

// without reports whether the list has no member with this id and incarnation.
func without(id string, incarnation uint64) func(wire.EntryList) bool {
	return func(list wire.EntryList) bool {
		_, ok := placement.Find(&list, id, incarnation)
		return !ok
	}
}

// homeOf returns the entry that is the home of a key.
func (c *cluster) homeOf(key string) *entry {
	c.t.Helper()
	s, err := c.stateOf(c.anyRunning())
	if err != nil {
		c.t.Fatal(err)
	}
	home, _ := placement.Home(&s.List, "", placement.HashKey(service, key))
	for _, e := range c.entries {
		if e.id == home.ID {
			return e
		}
	}
	c.t.Fatalf("no home for %s", key)
	return nil
}

func (c *cluster) anyRunning() *entry {
	entries, _ := c.running()
	return entries[0]
}

// others returns the entries except one.
func (c *cluster) others(except *entry) []*entry {
	var rest []*entry
	for _, e := range c.entries {
		if e != except {
			rest = append(rest, e)
		}
	}
	return rest
}

// ready asks an entry or agent for its readiness as a balancer does.
func ready(admin string) bool {
	response, err := client.Get("http://" + admin + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// starts returns how often each task began at any upstream, by "<key hash>/<index>".
func (c *cluster) starts() (map[string]int, error) {
	total := make(map[string]int)
	for _, u := range c.upstreams {
		lists := u.former
		if u.process.running() {
			tasks, err := c.startedAt(u)
			if err != nil {
				return nil, errors.Join(fmt.Errorf("%s", u.name), err)
			}
			lists = append(lists[:len(lists):len(lists)], tasks)
		}
		for _, tasks := range lists {
			for task, n := range tasks {
				total[task] += n
			}
		}
	}
	return total, nil
}

// startedAt returns how often each task began in the present run of an upstream.
func (c *cluster) startedAt(u *upstream) (tasks map[string]int, err error) {
	err = c.getJSON("http://"+u.control+"/tasks", &tasks)
	return tasks, err
}

// startsOf returns how often the tasks of one key began in all.
func (c *cluster) startsOf(key string, tasks int) int {
	c.t.Helper()
	all, err := c.starts()
	if err != nil {
		c.t.Fatal(err)
	}
	n := 0
	for i := range tasks {
		n += all[taskName(key, i)]
	}
	return n
}

func taskName(key string, index int) string { return taskOf(service, key, index) }

func taskOf(service, key string, index int) string {
	return fmt.Sprintf("%x/%d", placement.HashKey(service, key), index)
}

// waitRunning waits until a task of the key runs at an upstream.
func (c *cluster) waitRunning(key string, tasks int) {
	c.t.Helper()
	c.eventually(5*time.Second, "the tasks run", func() error {
		if n := c.startsOf(key, tasks); n < tasks {
			return fmt.Errorf("%d of %d tasks", n, tasks)
		}
		return nil
	})
}
