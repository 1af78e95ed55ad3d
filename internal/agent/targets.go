package agent

import (
	"slices"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// dialTarget is an address that the agent dials.
type dialTarget struct {
	entryID string // entry that answered there or that the list names; empty if neither is known
	token   suture.ServiceToken
	// stopAt is when the agent stops dialling an expelled entry; zero while its address is wanted.
	stopAt time.Time
}

// dialTargets runs one supervised dialler for each entry in the list of entries and for each configured address. A
// configured address that turns out to belong to an entry that is dialled at another address gets no dialler.
type dialTargets struct {
	control                    *control
	byAddress                  map[string]*dialTarget
	entryIDByConfiguredAddress map[string]string // ID of the entry that answered at a configured address
}

func newDialTargets(c *control) dialTargets {
	return dialTargets{control: c, byAddress: make(map[string]*dialTarget), entryIDByConfiguredAddress: make(map[string]string)}
}

// syncWithList starts and stops diallers after a change of the list. An expelled entry is dialled until the retention
// window has passed, since it may still own attempts; an entry that left cleanly is not dialled any more. Diallers are
// stopped before others are started, so that an entry with two addresses is not dialled at the old one again once it is
// linked at the new one.
func (t *dialTargets) syncWithList(now time.Time) {
	list := t.entryList()
	wanted := t.wantedAddresses(list)
	for address, existing := range t.byAddress {
		if _, ok := wanted[address]; ok || !existing.stopAt.IsZero() {
			continue
		}
		if existing.entryID != "" && wasExpelled(list, existing.entryID) {
			existing.stopAt = now.Add(t.control.options.Retention)
			continue
		}
		t.stopDialler(address)
	}
	for address, id := range wanted {
		t.startDialler(address, id)
	}
}

// recordEntryID records which entry answered at an address.
func (t *dialTargets) recordEntryID(address, id string) {
	if existing := t.byAddress[address]; existing != nil {
		existing.entryID = id
	}
	if slices.Contains(t.control.options.Entries, address) {
		t.entryIDByConfiguredAddress[address] = id
		t.syncWithList(t.control.now())
	}
}

// stopDueDiallers stops the diallers of entries whose expulsion is older than the retention window.
func (t *dialTargets) stopDueDiallers(now time.Time) {
	for address, existing := range t.byAddress {
		if !existing.stopAt.IsZero() && !now.Before(existing.stopAt) {
			t.stopDialler(address)
		}
	}
}

// entryList returns the current list of entries; it is empty before the first one was adopted.
func (t *dialTargets) entryList() *wire.EntryList {
	if list := t.control.records.List(); list != nil {
		return list
	}
	return &wire.EntryList{}
}

// wantedAddresses returns the addresses to dial and the IDs of their entries. An ID is empty if it is not known yet.
func (t *dialTargets) wantedAddresses(list *wire.EntryList) map[string]string {
	wanted := make(map[string]string)
	listed := make(map[string]bool)
	for _, m := range list.Members {
		wanted[m.Address] = m.ID
		listed[m.ID] = true
	}
	for _, address := range t.control.options.Entries {
		id := t.entryIDByConfiguredAddress[address]
		if _, ok := wanted[address]; ok || listed[id] {
			continue
		}
		wanted[address] = id
		listed[id] = id != "" // links to two addresses of one entry would replace each other forever
	}
	return wanted
}

func (t *dialTargets) startDialler(address, id string) {
	if existing := t.byAddress[address]; existing != nil {
		existing.stopAt = time.Time{}
		if id != "" {
			existing.entryID = id
		}
		return
	}
	a := t.control.agent
	token := a.diallers.Add(&dialler{agent: a, address: address})
	t.byAddress[address] = &dialTarget{entryID: id, token: token}
}

func (t *dialTargets) stopDialler(address string) {
	_ = t.control.agent.diallers.Remove(t.byAddress[address].token)
	delete(t.byAddress, address)
}

func wasExpelled(list *wire.EntryList, id string) bool {
	return slices.ContainsFunc(list.Departed, func(d wire.Departed) bool { return d.ID == id && !d.Clean })
}
