package placement

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Errors of the operations on a list.
var (
	// ErrNotMember means that the list has no member with this id and incarnation.
	ErrNotMember = eris.New("not a member of the list of entries")
	// ErrIncarnationUsed means that the incarnation is or was in the list.
	ErrIncarnationUsed = eris.New("incarnation was used before")
	// ErrNotLeaving means that a member was to be removed as clean that is not leaving.
	ErrNotLeaving = eris.New("member is not leaving")
	// ErrUnchanged means that the list is already as asked for, so that no write is needed.
	ErrUnchanged = eris.New("list of entries is unchanged")
	// ErrInvalid means that a list or a member breaks a rule of the format.
	ErrInvalid = eris.New("invalid list of entries")
)

// Add returns the list with a new active member. A former incarnation of the same entry counts as expelled in the
// same change: fencing makes that safe even if the former process still runs.
func Add(list *wire.EntryList, m wire.Member, now time.Time) (*wire.EntryList, error) {
	m.State = wire.MemberActive
	if err := validateMember(m); err != nil {
		return nil, err
	}
	if incarnationUsed(list, m.Incarnation) {
		return nil, eris.Wrapf(ErrIncarnationUsed, "entry %s", m.ID)
	}
	next := successor(list)
	for i := range next.Members {
		if next.Members[i].ID == m.ID {
			depart(next, i, false, now)
			break
		}
	}
	next.Members = append(next.Members, m)
	return next, nil
}

// MarkLeaving returns the list with the member in state leaving. It returns ErrUnchanged if it is leaving already.
func MarkLeaving(list *wire.EntryList, id string, incarnation uint64) (*wire.EntryList, error) {
	i, err := indexOf(list, id, incarnation)
	if err != nil {
		return nil, err
	}
	if list.Members[i].State == wire.MemberLeaving {
		return nil, ErrUnchanged
	}
	next := successor(list)
	next.Members[i].State = wire.MemberLeaving
	return next, nil
}

// RemoveClean returns the list without a leaving member that handed its table over under exactly this list.
func RemoveClean(list *wire.EntryList, id string, incarnation uint64, now time.Time) (*wire.EntryList, error) {
	i, err := indexOf(list, id, incarnation)
	if err != nil {
		return nil, err
	}
	if list.Members[i].State != wire.MemberLeaving {
		return nil, eris.Wrapf(ErrNotLeaving, "entry %s", id)
	}
	next := successor(list)
	depart(next, i, true, now)
	return next, nil
}

// Expel returns the list without a member that is lost. The others recover its keys from the agents.
func Expel(list *wire.EntryList, id string, incarnation uint64, now time.Time) (*wire.EntryList, error) {
	i, err := indexOf(list, id, incarnation)
	if err != nil {
		return nil, err
	}
	next := successor(list)
	depart(next, i, false, now)
	return next, nil
}

// Prune returns the list without the departed entries that left at least keep ago. It returns ErrUnchanged if there
// are none.
func Prune(list *wire.EntryList, now time.Time, keep time.Duration) (*wire.EntryList, error) {
	old := func(d wire.Departed) bool { return now.Sub(d.At) >= keep }
	if list == nil || !slices.ContainsFunc(list.Departed, old) {
		return nil, ErrUnchanged
	}
	next := successor(list)
	next.Departed = slices.DeleteFunc(next.Departed, old)
	return next, nil
}

// successor returns a copy with the next version that shares no memory with the list.
func successor(list *wire.EntryList) *wire.EntryList {
	if list == nil {
		return &wire.EntryList{Version: 1}
	}
	return &wire.EntryList{
		Version:  list.Version + 1,
		Members:  slices.Clone(list.Members),
		Departed: slices.Clone(list.Departed),
	}
}

func depart(list *wire.EntryList, i int, clean bool, now time.Time) {
	m := list.Members[i]
	list.Members = slices.Delete(list.Members, i, i+1)
	list.Departed = append(list.Departed, wire.Departed{
		ID: m.ID, Incarnation: m.Incarnation, Clean: clean, AtVersion: list.Version, At: now,
	})
}

func indexOf(list *wire.EntryList, id string, incarnation uint64) (int, error) {
	if list != nil {
		for i, m := range list.Members {
			if m.ID == id && m.Incarnation == incarnation {
				return i, nil
			}
		}
	}
	return 0, eris.Wrapf(ErrNotMember, "entry %s", id)
}

func incarnationUsed(list *wire.EntryList, incarnation uint64) bool {
	if list == nil {
		return false
	}
	return slices.ContainsFunc(list.Members, func(m wire.Member) bool { return m.Incarnation == incarnation }) ||
		slices.ContainsFunc(list.Departed, func(d wire.Departed) bool { return d.Incarnation == incarnation })
}
