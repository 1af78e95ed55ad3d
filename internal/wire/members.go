package wire

import "time"

// MemberState is the state of an entry in the list of entries.
type MemberState uint8

// States of a member.
const (
	// MemberActive is the state of a member that can be the home of keys.
	MemberActive MemberState = 1
	// MemberLeaving is the state of a member that finishes the jobs it holds and is not the home of any key.
	MemberLeaving MemberState = 2
)

// Member is one entry in the list of entries. Incarnation differs between two runs of the same entry.
type Member struct {
	ID          string      `cbor:"1,keyasint" json:"id"`
	Incarnation uint64      `cbor:"2,keyasint" json:"incarnation"`
	Address     string      `cbor:"3,keyasint" json:"address"`
	DataCentre  string      `cbor:"4,keyasint" json:"data_centre"`
	Region      string      `cbor:"5,keyasint" json:"region"`
	State       MemberState `cbor:"6,keyasint" json:"state"`
}

// Departed is an entry that was removed from the list of entries.
type Departed struct {
	ID          string `cbor:"1,keyasint" json:"id"`
	Incarnation uint64 `cbor:"2,keyasint" json:"incarnation"`
	// Clean is set when the entry handed its table over before it was removed.
	Clean bool `cbor:"3,keyasint" json:"clean"`
	// AtVersion and At are the list version and the time of the removal.
	AtVersion uint64    `cbor:"4,keyasint" json:"at_version"`
	At        time.Time `cbor:"5,keyasint" json:"at"`
}

// EntryList is the versioned list of entries. A higher version replaces a lower one as a whole.
type EntryList struct {
	Version  uint64     `cbor:"1,keyasint" json:"version"`
	Members  []Member   `cbor:"2,keyasint" json:"members"`
	Departed []Departed `cbor:"3,keyasint,omitempty" json:"departed,omitempty"`
	// Stopped has the stop notices of members that stopped while the store was unavailable. They are not part of the list
	// in the store.
	Stopped []Stopped `cbor:"4,keyasint,omitempty" json:"-"`
}

// Stopped is the stop notice of a member that stops without a change of the list of entries: this incarnation accepts no
// new key under any list, and never will. Only the member itself issues it.
type Stopped struct {
	ID          string `cbor:"1,keyasint" json:"id"`
	Incarnation uint64 `cbor:"2,keyasint" json:"incarnation"`
	// Done is set when the member runs no more jobs and the new homes under the list of ListVersion have acknowledged the
	// handover of its whole table. ListVersion and At, the time at which the member issued this notice, are set with Done.
	Done        bool      `cbor:"3,keyasint,omitempty" json:"done"`
	ListVersion uint64    `cbor:"4,keyasint,omitempty" json:"list_version"`
	At          time.Time `cbor:"5,keyasint" json:"at"`
}
