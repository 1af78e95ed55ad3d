package placement

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// ErrNotStopped is returned when RemoveStopped is called with a stop notice that is not done, or that refers to a newer
// list.
var ErrNotStopped = eris.New("member has not announced that it is done")

// Merge returns the list to use after candidate was received: the one with the higher version, with the stop notices of
// both about its members. Stop notices are kept across lists, because a member that announced its stop stays stopped
// under every list.
func Merge(current, candidate *wire.EntryList) (list *wire.EntryList, changed bool) {
	if candidate == nil {
		return current, false
	}
	list, changed = PickNewer(current, candidate)
	stopped := slices.Clone(stopNoticesOfMembers(list, current))
	for _, s := range stopNoticesOfMembers(list, candidate) {
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

// stopNoticesOfMembers returns the stop notices in source about members of the list.
func stopNoticesOfMembers(list, source *wire.EntryList) []wire.Stopped {
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

// ApplyStopNotices returns the list with its stop notices applied: a member that is stopping is leaving, and one that is
// done has departed cleanly. The version stays the same.
func ApplyStopNotices(list *wire.EntryList) *wire.EntryList {
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
			effective.Departed = append(effective.Departed, departureOf(list.Stopped[i]))
		default:
			m.State = wire.MemberLeaving
			effective.Members = append(effective.Members, m)
		}
	}
	return effective
}

// departureOf returns the departure of a member that is done. Its version follows that of the list under which the
// member handed over its table. If an entry that received a part of the table is expelled later, the version of the
// expulsion is therefore at least as high, and the agents are asked for the records of the departed member too.
func departureOf(s wire.Stopped) wire.Departed {
	return wire.Departed{ID: s.ID, Incarnation: s.Incarnation, Clean: true, AtVersion: s.ListVersion + 1, At: s.At}
}

// AnnounceStop returns the list with a stop notice: the member accepts no new keys. The version stays the same. Only the
// member itself may announce this. The error is ErrNotMember or ErrUnchanged.
func AnnounceStop(list *wire.EntryList, id string, incarnation uint64) (*wire.EntryList, error) {
	if _, err := indexOf(list, id, incarnation); err != nil {
		return nil, err
	}
	return addStopNotice(list, wire.Stopped{ID: id, Incarnation: incarnation})
}

// AnnounceStopDone returns the list with a stop notice that is done: the member handed over its table under this list.
// The version stays the same. The error is ErrNotMember or ErrUnchanged.
func AnnounceStopDone(list *wire.EntryList, id string, incarnation uint64, now time.Time) (*wire.EntryList, error) {
	if _, err := indexOf(list, id, incarnation); err != nil {
		return nil, err
	}
	return addStopNotice(list, wire.Stopped{ID: id, Incarnation: incarnation, Done: true, ListVersion: list.Version, At: now})
}

func addStopNotice(list *wire.EntryList, s wire.Stopped) (*wire.EntryList, error) {
	candidate := *list
	candidate.Stopped = []wire.Stopped{s}
	next, changed := Merge(list, &candidate)
	if !changed {
		return nil, ErrUnchanged
	}
	return next, nil
}

// RemoveStopped returns the list without a member that is done, which counts as departed cleanly. The error is
// ErrNotMember or ErrNotStopped.
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
	next.Departed = append(next.Departed, departureOf(s))
	return next, nil
}
