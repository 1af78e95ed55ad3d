// Package kvstore is a stand-in, for tests, for the key-value store of the users' platform. It speaks the store's HTTP
// protocol, keeps its data in memory and injects faults.
package kvstore

import (
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
)

// ErrListen is returned when the store cannot listen on its address.
var ErrListen = eris.New("stand-in store cannot listen")

const (
	// pageSize and pageBytes bound the items of a page and the size of their values.
	pageSize           = 500
	pageBytes          = 1 << 20
	leaseCheckInterval = 20 * time.Millisecond
	readHeaderTimeout  = 5 * time.Second
)

// item is a key in the JSON form of the protocol, or an event of the history. Value is encoded as base64.
type item struct {
	Key      string
	Value    []byte
	Revision uint64
	Created  uint64
	Lease    int64
	Deleted  bool `json:",omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is a running stand-in.
type Store struct {
	server *http.Server
	stop   chan struct{}

	mu                sync.Mutex
	changed           *sync.Cond
	revision          uint64
	items             map[string]item
	history           []item
	compactedRevision uint64 // revisions up to this one are not in the history
	leases            map[int64]*lease
	down              bool
	rewrite           func(key string, value []byte) []byte
}

// Start starts a store that listens on address. It returns ErrListen.
func Start(address string) (*Store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(ErrListen, "%v", err)
	}
	s := &Store{stop: make(chan struct{}), revision: 1, items: make(map[string]item), leases: make(map[int64]*lease)}
	s.changed = sync.NewCond(&s.mu)
	e := echo.New()
	e.Use(s.refuseWhileDown)
	e.GET("/v1/kv-key", s.get)
	e.GET("/v1/kv-range", s.listRange)
	e.GET("/v1/kv-watch", s.watch)
	e.POST("/v1/kv-txn", s.transact)
	e.POST("/v1/kv-lease", s.createLease)
	e.POST("/v1/kv-keep/:id", s.renewLease)
	e.DELETE("/v1/kv-lease-end/:id", s.endLease)
	s.server = &http.Server{Handler: e, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = s.server.Serve(listener) }() // ends with Close
	go s.expireLoop()
	return s, nil
}

// Close stops the store and closes all connections.
func (s *Store) Close() {
	close(s.stop)
	_ = s.server.Close()
}

// SetDown makes the store answer every call with status 503 while down is true, including watches in progress.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.changed.Broadcast()
}

// SetRewrite sets a function that replaces the values that processes write, for example an address by that of a proxy in
// front of it.
func (s *Store) SetRewrite(rewrite func(key string, value []byte) []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rewrite = rewrite
}

// Compact drops the history, so that a watch from an earlier revision gets status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
}

// Put writes a key without a lease, as an operator does. The value is not rewritten.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putItem(key, value, 0)
}

// Delete deletes a key while its lease stays valid, so that no call of its owner fails.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteItem(key)
}

// Has reports whether a key exists.
func (s *Store) Has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.items[key]
	return ok
}

func (s *Store) putItem(key string, value []byte, leaseID int64) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
	s.changed.Broadcast()
}

func (s *Store) deleteItem(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	s.changed.Broadcast()
}

// expireLoop revokes expired leases until the store is closed.
func (s *Store) expireLoop() {
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-ticker.C:
			s.mu.Lock()
			for id, l := range s.leases {
				if now.After(l.expires) {
					s.revokeLease(id)
				}
			}
			s.mu.Unlock()
		}
	}
}

// revokeLease deletes a lease and its keys. The caller holds the lock.
func (s *Store) revokeLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.deleteItem(key)
		}
	}
}

func (s *Store) refuseWhileDown(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if down {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return next(c)
	}
}

func (s *Store) get(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[c.QueryParam("Key")]
	if !ok {
		return c.JSON(http.StatusNotFound, map[string]uint64{"CurrentRev": s.revision})
	}
	return c.JSON(http.StatusOK, i)
}

func (s *Store) listRange(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, c.QueryParam("Prefix")) && key > c.QueryParam("After") {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	size, n := 0, 0
	for n < len(found) && n < pageSize && (n == 0 || size+len(found[n].Value) <= pageBytes) {
		size += len(found[n].Value)
		n++
	}
	more := n < len(found)
	found = found[:n]
	return c.JSON(http.StatusOK, map[string]any{"items": found, "Truncated": more, "CurrentRev": s.revision})
}

func (s *Store) watch(c echo.Context) error {
	after, _ := strconv.ParseUint(c.QueryParam("After"), 10, 64) // a missing revision means 0, the beginning of the history
	ms, _ := strconv.Atoi(c.QueryParam("WaitMs"))                // a missing wait means 0, an answer at once
	deadline := time.Now().Add(time.Duration(ms) * time.Millisecond)
	timer := time.AfterFunc(time.Until(deadline), s.changed.Broadcast)
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		if after < s.compactedRevision {
			return c.NoContent(http.StatusGone)
		}
		events := s.eventsSince(c.QueryParam("Prefix"), after)
		switch {
		case s.down:
			return c.NoContent(http.StatusServiceUnavailable)
		case len(events) > 0 || !time.Now().Before(deadline):
			return c.JSON(http.StatusOK, map[string]any{"events": events, "CurrentRev": s.revision})
		}
		s.changed.Wait()
	}
}

// eventsSince returns the changes below prefix after a revision. The caller holds the lock.
func (s *Store) eventsSince(prefix string, after uint64) []item {
	events := []item{}
	for _, i := range s.history {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events
}

func (s *Store) transact(c echo.Context) error {
	var txn struct {
		Expected []struct {
			Key      string
			Revision uint64
		}
		Puts []struct {
			Key   string
			Value []byte
			Lease int64
		}
		Remove []string
	}
	if err := c.Bind(&txn); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range txn.Expected {
		if s.items[e.Key].Revision != e.Revision {
			return c.JSON(http.StatusPreconditionFailed, map[string]any{"items": []item{}})
		}
	}
	for _, p := range txn.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return c.NoContent(http.StatusNotFound)
		}
	}
	for _, p := range txn.Puts {
		if s.rewrite != nil {
			p.Value = s.rewrite(p.Key, p.Value)
		}
		s.putItem(p.Key, p.Value, p.Lease)
	}
	for _, key := range txn.Remove {
		s.deleteItem(key)
	}
	return c.JSON(http.StatusOK, map[string]uint64{"Revision": s.revision})
}

func (s *Store) createLease(c echo.Context) error {
	var request struct{ TtlMs int64 }
	if err := c.Bind(&request); err != nil || request.TtlMs <= 0 {
		return c.NoContent(http.StatusBadRequest)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := int64(s.revision)
	ttl := time.Duration(request.TtlMs) * time.Millisecond
	s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return c.JSON(http.StatusOK, map[string]int64{"Lease": id, "TtlMs": request.TtlMs})
}

// findLease returns the lease of the id in the path, or nil if there is none. The caller holds the lock.
func (s *Store) findLease(c echo.Context) (int64, *lease) {
	id, err := strconv.ParseInt(c.Param("id"), 10, 64)
	if err != nil {
		return 0, nil
	}
	return id, s.leases[id]
}

func (s *Store) renewLease(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, l := s.findLease(c)
	if l == nil {
		return c.NoContent(http.StatusNotFound)
	}
	l.expires = time.Now().Add(l.ttl)
	return c.JSON(http.StatusOK, struct{}{})
}

func (s *Store) endLease(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id, l := s.findLease(c); l != nil {
		s.revokeLease(id)
	}
	return c.JSON(http.StatusOK, struct{}{})
}
