package consul

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
)

// Behaviors of a session: what happens to its keys when it ends.
const (
	behaviorRelease = "release"
	behaviorDelete  = "delete"
)

// pair is one key in the JSON form of the published protocol. Value is encoded as base64.
type pair struct {
	Key         string
	CreateIndex uint64
	ModifyIndex uint64
	LockIndex   uint64
	Flags       uint64
	Value       []byte
	Session     string `json:",omitempty"`
}

// session is one session in the JSON form of the published protocol.
type session struct {
	ID          string
	Name        string
	Behavior    string
	TTL         string
	CreateIndex uint64

	ttl     time.Duration // 0 means that the session does not expire
	expires time.Time
}

// data is the whole content of the store. It can be cloned, so that older data can be restored. The caller of its methods
// holds the lock of the store.
type data struct {
	index    uint64
	keys     map[string]pair
	sessions map[string]session
	// lastDeleteIndex is the index of the last deletion. It raises the index of every prefix: some blocking queries return
	// without a change, but none misses a deletion.
	lastDeleteIndex uint64
}

func newData() data {
	return data{index: 1, keys: map[string]pair{}, sessions: map[string]session{}}
}

func (d *data) clone() data {
	c := *d
	c.keys = maps.Clone(d.keys)
	c.sessions = maps.Clone(d.sessions)
	return c
}

// list returns the keys below a prefix, sorted, with the index of the prefix.
func (d *data) list(prefix string) ([]pair, uint64) {
	index := max(d.lastDeleteIndex, 1)
	var found []pair
	for key, p := range d.keys {
		if strings.HasPrefix(key, prefix) {
			found = append(found, p)
			index = max(index, p.ModifyIndex)
		}
	}
	slices.SortFunc(found, func(a, b pair) int { return strings.Compare(a.Key, b.Key) })
	return found, index
}

// get returns a single key in the same form as list.
func (d *data) get(key string) ([]pair, uint64) {
	p, ok := d.keys[key]
	if !ok {
		return nil, max(d.lastDeleteIndex, 1)
	}
	return []pair{p}, max(d.lastDeleteIndex, p.ModifyIndex)
}

// put writes a key unconditionally. The key stays bound to its session.
func (d *data) put(key string, value []byte) {
	d.index++
	p, ok := d.keys[key]
	if !ok {
		p = pair{Key: key, CreateIndex: d.index}
	}
	p.Value = value
	p.ModifyIndex = d.index
	d.keys[key] = p
}

// compareAndSwap writes a key if its ModifyIndex is the expected one; 0 means that the key must not exist. It reports
// whether it wrote.
func (d *data) compareAndSwap(key string, value []byte, expected uint64) bool {
	if d.keys[key].ModifyIndex != expected {
		return false
	}
	d.put(key, value)
	return true
}

// acquire writes a key and binds it to a session, unless it is bound to another one. It reports whether it wrote.
func (d *data) acquire(key string, value []byte, id string) bool {
	p := d.keys[key]
	if p.Session != "" && p.Session != id {
		return false
	}
	d.put(key, value)
	held := d.keys[key]
	if held.Session != id {
		held.LockIndex++
	}
	held.Session = id
	d.keys[key] = held
	return true
}

// remove deletes a key.
func (d *data) remove(key string) {
	if _, ok := d.keys[key]; !ok {
		return
	}
	d.index++
	d.lastDeleteIndex = d.index
	delete(d.keys, key)
}

// createSession assigns an id to the session and adds it. It expires at now plus its TTL, or
// never if the TTL is 0.
func (d *data) createSession(s session, now time.Time) session {
	d.index++
	s.ID = uuid.NewString()
	s.CreateIndex = d.index
	s.expires = now.Add(s.ttl)
	d.sessions[s.ID] = s
	return s
}

// destroySession ends a session and deletes or releases its keys, according to its behavior.
func (d *data) destroySession(id string) {
	s, ok := d.sessions[id]
	if !ok {
		return
	}
	d.index++
	delete(d.sessions, id)
	for key, p := range d.keys {
		if p.Session != id {
			continue
		}
		if s.Behavior == behaviorDelete {
			d.remove(key)
			continue
		}
		p.Session = ""
		p.ModifyIndex = d.index
		d.keys[key] = p
	}
}

// expireSessions ends the sessions whose TTL is over and reports whether there were any.
func (d *data) expireSessions(now time.Time) bool {
	ended := false
	for id, s := range d.sessions {
		if s.ttl > 0 && !s.expires.After(now) {
			d.destroySession(id)
			ended = true
		}
	}
	return ended
}

// nextExpiry returns the time at which the next session expires; the zero time means that none will.
func (d *data) nextExpiry() time.Time {
	var next time.Time
	for _, s := range d.sessions {
		if s.ttl > 0 && (next.IsZero() || s.expires.Before(next)) {
			next = s.expires
		}
	}
	return next
}
