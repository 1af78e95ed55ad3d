package runs

import "time"

// maxAnnouncingIncarnations bounds the incarnations whose announcements are kept. One is in force, a second one may wait for
// its first snapshot; the others are outdated or were not sent by the worker.
const maxAnnouncingIncarnations = 16

// incarnationKey identifies an incarnation of a worker. A worker can restart under the same id.
type incarnationKey struct {
	id            string
	startedMillis int64
}

// announced is what one incarnation has announced about itself.
type announced struct {
	Announcement
	left     bool      // the worker has announced that it ends now
	at       time.Time // when the last announcement arrived
	lastUsed uint64    // order of the last announcement among those of all incarnations
}

// announcements keeps the last announcement of each incarnation of the worker. Announcements can be delayed and overtake each
// other, and sequence numbers are comparable only within one incarnation.
type announcements struct {
	byIncarnation map[incarnationKey]*announced
	count         uint64
}

func newAnnouncements() announcements {
	return announcements{byIncarnation: make(map[incarnationKey]*announced)}
}

// record stores an announcement unless a later one of the same incarnation is known. Only the end of a worker counts from any
// announcement: an incarnation that leaves never takes work again. The announcement in force is kept in any case.
func (s *announcements) record(now time.Time, a Announcement, inForce *announced) {
	s.count++
	key := incarnationKey{a.ID, a.StartedMillis}
	known := s.byIncarnation[key]
	if known == nil {
		s.makeRoom(inForce)
		s.byIncarnation[key] = &announced{Announcement: a, at: now, lastUsed: s.count}
		return
	}
	known.at, known.lastUsed = now, s.count
	draining := known.Draining || a.Draining
	if a.Sequence > known.Sequence {
		known.left = false // the notice of the end was a delayed one of an earlier incarnation under this id
	}
	if a.Sequence >= known.Sequence {
		known.Announcement = a
	}
	known.Draining = draining
}

// makeRoom removes the incarnation that has announced itself least recently if there are too many.
func (s *announcements) makeRoom(inForce *announced) {
	if len(s.byIncarnation) < maxAnnouncingIncarnations {
		return
	}
	var oldest *announced
	for _, a := range s.byIncarnation {
		if a != inForce && (oldest == nil || a.lastUsed < oldest.lastUsed) {
			oldest = a
		}
	}
	delete(s.byIncarnation, incarnationKey{oldest.ID, oldest.StartedMillis})
}

// find returns the announcement of the incarnation that started at a time, or nil. If several ids claim that start, it is the
// one announced last.
func (s *announcements) find(startedMillis int64) *announced {
	var found *announced
	for key, a := range s.byIncarnation {
		if key.startedMillis == startedMillis && (found == nil || a.lastUsed > found.lastUsed) {
			found = a
		}
	}
	return found
}

// latest returns the announcement of the incarnation that started last, or nil.
func (s *announcements) latest() *announced {
	var found *announced
	for key, a := range s.byIncarnation {
		if found == nil || key.startedMillis > found.StartedMillis {
			found = a
		}
	}
	return found
}

// otherAnnouncedAfter reports whether another incarnation under the id of the one in force announced itself after a time. The
// worker may have restarted since then.
func (s *announcements) otherAnnouncedAfter(inForce *announced, after time.Time) bool {
	for key, a := range s.byIncarnation {
		if key.id == inForce.ID && a != inForce && a.at.After(after) {
			return true
		}
	}
	return false
}
