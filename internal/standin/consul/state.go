package consul

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
)

// Behaviours of a session whose lease ends.
const (
	behaviorRelease = "release"
	behaviorDelete  = "delete"
)

// pair is one key in the form of the published protocol. Value is base64 in JSON.
type pair struct {
	Key         string
	CreateIndex uint64
	ModifyIndex uint64
	LockIndex   uint64
	Flags       uint64
	Value       []byte
	Session     string `json:",omitempty"`
}

// session is one session in the form of the published protocol.
type session struct {
	ID          string
	Name        string
	Behavior    string
	TTL         string
	CreateIndex uint64

	ttl     time.Duration
	expires time.Time
}

// data is everything the store holds. It can be copied, so that older data can be restored.
type data struct {
	index    uint64
	keys     map[string]pair
	sessions map[string]session
	// lastDelete is the index of the last deletion. It raises the index of every prefix, which wakes some watches
	// without need and loses no deletion.
	lastDelete uint64
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

// below returns the keys below a prefix, sorted, with the index of the prefix.
func (d *data) below(prefix string) ([]pair, uint64) {
	index := max(d.lastDelete, 1)
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

// one returns a single key in the form of below.
func (d *data) one(key string) ([]pair, uint64) {
	p, ok := d.keys[key]
	if !ok {
		return nil, max(d.lastDelete, 1)
	}
	return []pair{p}, max(d.lastDelete, p.ModifyIndex)
}

// put writes a key without a condition and keeps its session.
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

// swap writes a key if its ModifyIndex is the expected one, or if it does not exist for 0.
func (d *data) swap(key string, value []byte, expected uint64) bool {
	if d.keys[key].ModifyIndex != expected {
		return false
	}
	d.put(key, value)
	return true
}

// acquire writes a key for a session unless another one holds it.
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
	d.lastDelete = d.index
	delete(d.keys, key)
}

// create adds a session that expires after ttl.
func (d *data) create(s session, now time.Time) session {
	d.index++
	s.ID = uuid.NewString()
	s.CreateIndex = d.index
	s.expires = now.Add(s.ttl)
	d.sessions[s.ID] = s
	return s
}

// destroy ends a session and deletes or releases its keys.
func (d *data) destroy(id string) {
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

// expire ends the sessions that are due and reports whether there were any.
func (d *data) expire(now time.Time) bool {
	ended := false
	for id, s := range d.sessions {
		if s.ttl > 0 && !s.expires.After(now) {
			d.destroy(id)
			ended = true
		}
	}
	return ended
}

// nextExpiry returns the time at which the next session ends; zero without sessions.
func (d *data) nextExpiry() time.Time {
	var next time.Time
	for _, s := range d.sessions {
		if s.ttl > 0 && (next.IsZero() || s.expires.Before(next)) {
			next = s.expires
		}
	}
	return next
}
