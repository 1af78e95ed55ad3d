package placement

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Errors of the operations on a list.
var (
	// ErrNotMember is returned when the list has no member with the given id and incarnation.
	ErrNotMember = eris.New("not a member of the list of entries")
	// ErrIncarnationUsed is returned when the incarnation is in the list, as a member or as a departed entry.
	ErrIncarnationUsed = eris.New("incarnation is already in the list of entries")
	// ErrNotLeaving is returned when RemoveClean is called for a member that is not leaving.
	ErrNotLeaving = eris.New("member is not leaving")
	// ErrUnchanged is returned when the list already has the requested state, so that no write is needed.
	ErrUnchanged = eris.New("list of entries is unchanged")
	// ErrInvalid is returned when a list or a member violates a rule of the format.
	ErrInvalid = eris.New("invalid list of entries")
)

// Add returns the list with a new active member. If the list has a previous incarnation of the same entry, that
// incarnation is expelled in the same change. This is safe even if the previous process still runs, because agents refuse
// its starts. The error is ErrInvalid or ErrIncarnationUsed.
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
			moveToDeparted(next, i, false, now)
			break
		}
	}
	next.Members = append(next.Members, m)
	return next, nil
}

// MarkLeaving returns the list with the member in state leaving. The error is ErrNotMember, or ErrUnchanged if the
// member is already leaving.
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

// RemoveClean returns the list without a leaving member. The member must have handed over its table under exactly this
// list. The error is ErrNotMember or ErrNotLeaving.
func RemoveClean(list *wire.EntryList, id string, incarnation uint64, now time.Time) (*wire.EntryList, error) {
	i, err := indexOf(list, id, incarnation)
	if err != nil {
		return nil, err
	}
	if list.Members[i].State != wire.MemberLeaving {
		return nil, eris.Wrapf(ErrNotLeaving, "entry %s", id)
	}
	next := successor(list)
	moveToDeparted(next, i, true, now)
	return next, nil
}

// Expel returns the list without a lost member, or ErrNotMember. The other members recover its keys from the agents.
func Expel(list *wire.EntryList, id string, incarnation uint64, now time.Time) (*wire.EntryList, error) {
	i, err := indexOf(list, id, incarnation)
	if err != nil {
		return nil, err
	}
	next := successor(list)
	moveToDeparted(next, i, false, now)
	return next, nil
}

// Prune returns the list without the departed entries that departed at least the retention ago, or ErrUnchanged if there
// are none.
func Prune(list *wire.EntryList, now time.Time, retention time.Duration) (*wire.EntryList, error) {
	isExpired := func(d wire.Departed) bool { return now.Sub(d.At) >= retention }
	if list == nil || !slices.ContainsFunc(list.Departed, isExpired) {
		return nil, ErrUnchanged
	}
	next := successor(list)
	next.Departed = slices.DeleteFunc(next.Departed, isExpired)
	return next, nil
}

// successor returns a copy of the list with the next version. The copy shares no memory with the list and has no stop
// notices.
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

func moveToDeparted(list *wire.EntryList, i int, clean bool, now time.Time) {
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
