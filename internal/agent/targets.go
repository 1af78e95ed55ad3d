package agent

import (
	"slices"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// target is an address that the agent dials.
type target struct {
	id    string // entry that answered there or that the list names; empty when it is not known
	token suture.ServiceToken
	// dropAt is when the agent stops dialling an entry that left the list; zero while it is wanted.
	dropAt time.Time
}

// targets keeps one supervised dialler for each entry: those of the list and those of the settings. A configured address
// that turns out to be another address of the same entry gets no dialler of its own.
type targets struct {
	control *control
	byAddr  map[string]*target
	aliases map[string]string // configured address to the id of the entry that answered there
}

func newTargets(c *control) targets {
	return targets{control: c, byAddr: make(map[string]*target), aliases: make(map[string]string)}
}

// update starts and stops diallers after a change of the list. An entry that was expelled is dialled for the retention
// window, since it may still own attempts; one that left cleanly is not. Stops come before starts, so that an entry with
// two addresses is not dialled again on the old one once it is linked on the new one.
func (t *targets) update(now time.Time) {
	list := t.list()
	wanted := t.wanted(list)
	for address, existing := range t.byAddr {
		if _, ok := wanted[address]; ok || !existing.dropAt.IsZero() {
			continue
		}
		if existing.id != "" && expelled(list, existing.id) {
			existing.dropAt = now.Add(t.control.options.Retention)
			continue
		}
		t.stop(address)
	}
	for address, id := range wanted {
		t.start(address, id)
	}
}

// learn notes which entry answered at an address.
func (t *targets) learn(address, id string) {
	if existing := t.byAddr[address]; existing != nil {
		existing.id = id
	}
	if slices.Contains(t.control.options.Entries, address) {
		t.aliases[address] = id
		t.update(t.control.now())
	}
}

// expire stops the diallers of entries that were expelled long ago.
func (t *targets) expire(now time.Time) {
	for address, existing := range t.byAddr {
		if !existing.dropAt.IsZero() && !now.Before(existing.dropAt) {
			t.stop(address)
		}
	}
}

// list returns the list of entries; it is empty before the first was adopted.
func (t *targets) list() *wire.EntryList {
	if list := t.control.records.List(); list != nil {
		return list
	}
	return &wire.EntryList{}
}

func (t *targets) wanted(list *wire.EntryList) map[string]string {
	wanted := make(map[string]string)
	listed := make(map[string]bool)
	for _, m := range list.Members {
		wanted[m.Address] = m.ID
		listed[m.ID] = true
	}
	for _, address := range t.control.options.Entries {
		id := t.aliases[address]
		if _, ok := wanted[address]; ok || listed[id] {
			continue
		}
		wanted[address] = id
		listed[id] = id != "" // two addresses of one entry would replace each other's links for ever
	}
	return wanted
}

func (t *targets) start(address, id string) {
	if existing := t.byAddr[address]; existing != nil {
		existing.dropAt = time.Time{}
		if id != "" {
			existing.id = id
		}
		return
	}
	a := t.control.agent
	token := a.diallers.Add(&dialler{agent: a, address: address})
	t.byAddr[address] = &target{id: id, token: token}
}

func (t *targets) stop(address string) {
	_ = t.control.agent.diallers.Remove(t.byAddr[address].token)
	delete(t.byAddr, address)
}

func expelled(list *wire.EntryList, id string) bool {
	return slices.ContainsFunc(list.Departed, func(d wire.Departed) bool { return d.ID == id && !d.Clean })
}
