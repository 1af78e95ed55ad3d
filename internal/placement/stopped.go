package placement

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// ErrNotStopped means that a member was to be removed by its own statement that has not made one.
var ErrNotStopped = eris.New("member did not state that it has stopped")

// Merge returns the list to use after candidate was received: the one with the higher version, with the statements of
// both about its members. Statements are kept across lists, because a member that made one keeps to it under any list.
func Merge(current, candidate *wire.EntryList) (list *wire.EntryList, changed bool) {
	if candidate == nil {
		return current, false
	}
	list, changed = Newer(current, candidate)
	stopped := slices.Clone(membersStopped(list, current))
	for _, s := range membersStopped(list, candidate) {
		i := slices.IndexFunc(stopped, func(o wire.Stopped) bool { return o.Incarnation == s.Incarnation })
		switch {
		case i < 0:
			stopped = append(stopped, s)
		case s.Done && !stopped[i].Done:
			stopped[i] = s
		default:
			continue
		}
		changed = true
	}
	if !changed {
		return current, false
	}
	merged := *list
	merged.Stopped = stopped
	return &merged, true
}

// membersStopped returns the statements in source about members of the list.
func membersStopped(list, source *wire.EntryList) []wire.Stopped {
	if source == nil {
		return nil
	}
	var all []wire.Stopped
	for _, s := range source.Stopped {
		if _, ok := Find(list, s.ID, s.Incarnation); ok {
			all = append(all, s)
		}
	}
	return all
}

// Effective returns the list as the statements of its members change it: a member that stops is leaving, and one that
// is done has departed clean. The version stays the same.
func Effective(list *wire.EntryList) *wire.EntryList {
	if list == nil || len(list.Stopped) == 0 {
		return list
	}
	effective := &wire.EntryList{Version: list.Version, Departed: slices.Clone(list.Departed)}
	for _, m := range list.Members {
		i := slices.IndexFunc(list.Stopped, func(s wire.Stopped) bool { return s.Incarnation == m.Incarnation })
		switch {
		case i < 0:
			effective.Members = append(effective.Members, m)
		case list.Stopped[i].Done:
			effective.Departed = append(effective.Departed, departedOf(list.Stopped[i]))
		default:
			m.State = wire.MemberLeaving
			effective.Members = append(effective.Members, m)
		}
	}
	return effective
}

// departedOf returns the departure of a member that is done. It counts from the list under which the member handed its
// table over, so that a later expulsion of an entry that took a part of it makes the agents be asked for its records.
func departedOf(s wire.Stopped) wire.Departed {
	return wire.Departed{ID: s.ID, Incarnation: s.Incarnation, Clean: true, AtVersion: s.ListVersion + 1, At: s.At}
}

// Stop returns the list of the same version with the statement of a member that it takes no new keys. Only the member
// itself may make it.
func Stop(list *wire.EntryList, id string, incarnation uint64) (*wire.EntryList, error) {
	if _, err := indexOf(list, id, incarnation); err != nil {
		return nil, err
	}
	return state(list, wire.Stopped{ID: id, Incarnation: incarnation})
}

// Done returns the list of the same version with the statement of a member that its table was handed over under it.
func Done(list *wire.EntryList, id string, incarnation uint64, now time.Time) (*wire.EntryList, error) {
	if _, err := indexOf(list, id, incarnation); err != nil {
		return nil, err
	}
	return state(list, wire.Stopped{ID: id, Incarnation: incarnation, Done: true, ListVersion: list.Version, At: now})
}

func state(list *wire.EntryList, s wire.Stopped) (*wire.EntryList, error) {
	candidate := *list
	candidate.Stopped = []wire.Stopped{s}
	next, changed := Merge(list, &candidate)
	if !changed {
		return nil, ErrUnchanged
	}
	return next, nil
}

// RemoveStopped returns the list without a member that is done, as clean.
func RemoveStopped(list *wire.EntryList, s wire.Stopped) (*wire.EntryList, error) {
	i, err := indexOf(list, s.ID, s.Incarnation)
	if err != nil {
		return nil, err
	}
	if !s.Done || s.ListVersion > list.Version {
		return nil, eris.Wrapf(ErrNotStopped, "entry %s", s.ID)
	}
	next := successor(list)
	next.Members = slices.Delete(next.Members, i, i+1)
	next.Departed = append(next.Departed, departedOf(s))
	return next, nil
}
