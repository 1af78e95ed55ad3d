package catalogsync_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/catalog"
	"github.com/coltsfootspur/coltsfootspur/internal/catalogsync"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// replay runs entries and agents over links with queues, without a network and with a virtual clock. Each host sends and
// receives at its link rate in the order of the messages.
type replay struct {
	now      time.Duration
	sequence int
	pending  eventHeap
	hosts    []*replayHost
	byID     map[string]*replayHost
	entries  int // the first hosts are entries, the others agents
	// wholeValues replays the former distribution: an entry sends the whole encoded value to each agent.
	wholeValues bool
	interval    time.Duration // of heartbeats
	maxGap      time.Duration // the longest time between two arrivals of heartbeats on an unbroken link, without the interval
	violation   string
}

type replayHost struct {
	id, dataCentre      string
	megabits            float64
	sendFree, writeFree time.Duration // when the outgoing and the incoming half of the link are free
	changeBytes         int           // sent for changes of the configuration, without headers
	isEntry             bool
	incarnation         int
	refused             bool // by the store
	broken              bool // none of its links transports anything
	snapshot            *catalogsync.Snapshot
	decoding            uint64        // version that is being decoded
	activeAt            time.Duration // when the present version was in force; 0 before that
	holders             *catalogsync.Holders
	sender              *catalogsync.Sender[string]
	receiver            *catalogsync.Receiver[string]
	notices             map[string]catalogsync.Source[string]
	heardAt             map[string]time.Duration
}

const (
	replayLatency  = 1400 * time.Microsecond
	replayTick     = 10 * time.Millisecond
	headerBytes    = 60   // of TCP, IP and WebSocket for each packet
	heartbeatBytes = 300  // a heartbeat and its share of the offers and reports
	packetBytes    = 1448 // of payload
	noticeBytes    = 60
	pullBytes      = 16
	// storeDecodeTime and agentDecodeTime are the times from the arrival of 1 MB to its activation on a host with 0.144 core. A
	// value of the store takes 31 ms of processor time and 250 ms of pauses, an encoded configuration 12 ms of processor time.
	storeDecodeTime = 500 * time.Millisecond
	agentDecodeTime = 150 * time.Millisecond
	storeRoundTrip  = 4 * time.Millisecond
	// storeWindow is the part of an answer of the store that is on the way at a time. It is the receive buffer of the client;
	// without that bound the answer delays heartbeats to a host with 25 Mbit/s by 0.5 s.
	storeWindow = 64 << 10
)

func newReplay(entries, agents int, entryMegabits float64) *replay {
	r := &replay{entries: entries, byID: make(map[string]*replayHost), interval: 80 * time.Millisecond}
	if entries+agents > 200 {
		r.interval = 320 * time.Millisecond
	}
	for i := range entries + agents {
		h := &replayHost{id: fmt.Sprintf("host-%d", i), dataCentre: fmt.Sprintf("dc-%d", i%3), megabits: 1000, isEntry: i < entries}
		if h.isEntry {
			h.megabits = entryMegabits
		}
		h.clear()
		r.hosts = append(r.hosts, h)
		r.byID[h.id] = h
		r.at(time.Duration(i)*r.interval/time.Duration(entries+agents), func() { r.beat(h) })
		r.at(time.Duration(i)*replayTick/time.Duration(entries+agents), func() { r.tick(h) })
	}
	for _, h := range r.hosts {
		for _, p := range r.peers(h) {
			h.holders.AddAgent(p.id, p.dataCentre)
		}
	}
	return r
}

// peers returns the hosts to which a host has links.
func (r *replay) peers(h *replayHost) []*replayHost {
	if h.isEntry {
		return r.hosts[r.entries:]
	}
	return r.hosts[:r.entries]
}

// restart makes a host lose its state and its links.
func (r *replay) restart(h *replayHost) {
	h.clear()
	for _, p := range r.peers(h) {
		h.holders.AddAgent(p.id, p.dataCentre)
		p.disconnect(h)
	}
}

func (h *replayHost) clear() {
	h.incarnation++
	h.snapshot, h.activeAt, h.decoding = nil, 0, 0
	h.sender = catalogsync.NewSender[string](catalogsync.RateOfLink(h.megabits))
	h.holders, h.notices, h.heardAt = catalogsync.NewHolders(), make(map[string]catalogsync.Source[string]), make(map[string]time.Duration)
	h.receiver = catalogsync.NewReceiver[string](catalogsync.HolderDelay)
	if h.isEntry {
		h.receiver = catalogsync.NewReceiver[string](catalogsync.EntryDelay)
	}
}

// disconnect drops what a host knows of a peer whose link has closed.
func (h *replayHost) disconnect(peer *replayHost) {
	h.holders.RemoveAgent(peer.id)
	h.holders.AddAgent(peer.id, peer.dataCentre)
	h.sender.RemovePeer(peer.id)
	delete(h.notices, peer.id)
	delete(h.heardAt, peer.id)
}

// publish writes a version to the store. Entries that the store accepts read it over their links.
func (r *replay) publish(version uint64, body []byte, storedBytes int) {
	for _, h := range r.hosts[:r.entries] {
		r.readStore(h, version, body, storedBytes)
	}
}

func (r *replay) readStore(h *replayHost, version uint64, body []byte, storedBytes int) {
	if h.refused {
		return
	}
	incarnation := h.incarnation
	r.receive(h, min(storedBytes, storeWindow), func() {
		switch {
		case h.incarnation != incarnation:
		case storedBytes > storeWindow:
			r.at(storeRoundTrip, func() { r.readStore(h, version, body, storedBytes-storeWindow) })
		default:
			r.decode(h, catalogsync.NewSnapshot(version, body), storeDecodeTime)
		}
	})
}

// decode puts a snapshot into force at an entry after the time that decoding takes.
func (r *replay) decode(h *replayHost, s *catalogsync.Snapshot, duration time.Duration) {
	incarnation := h.incarnation
	r.at(duration, func() {
		if h.incarnation == incarnation {
			r.activate(h, s)
		}
	})
}

func (r *replay) activate(h *replayHost, s *catalogsync.Snapshot) {
	if s.Version <= catalogsync.VersionOf(h.snapshot) {
		return
	}
	h.snapshot, h.activeAt = s, r.now
	h.sender.SetSnapshot(s)
	if r.wholeValues && h.isEntry {
		for _, p := range r.peers(h) {
			h.changeBytes += len(s.Body)
			r.send(h, p, len(s.Body), func() { r.activate(p, s) })
		}
	}
}

func (r *replay) beat(h *replayHost) {
	r.at(r.interval, func() { r.beat(h) })
	version := catalogsync.VersionOf(h.snapshot)
	for _, p := range r.peers(h) {
		r.send(h, p, heartbeatBytes, func() {
			if last, ok := p.heardAt[h.id]; ok {
				r.maxGap = max(r.maxGap, r.now-last-r.interval)
			}
			p.heardAt[h.id] = r.now
			p.holders.ReportVersion(h.id, version)
		})
	}
}

func (r *replay) tick(h *replayHost) {
	r.at(replayTick, func() { r.tick(h) })
	if r.wholeValues {
		return
	}
	own, at := max(catalogsync.VersionOf(h.snapshot), h.decoding), time.Time{}.Add(r.now+time.Hour)
	sources := h.holders.Sources(h.id, own)
	if !h.isEntry {
		sources = nil
		for _, s := range h.notices {
			if s.Version > own {
				sources = append(sources, s)
			}
		}
	} else if h.snapshot != nil {
		for _, id := range h.holders.TakeDue(at, h.snapshot.Version) {
			p, notice := r.byID[id], h.snapshot.Notice()
			h.changeBytes += noticeBytes
			r.send(h, p, noticeBytes, func() {
				p.notices[h.id] = catalogsync.Source[string]{Peer: h.id, Version: notice.Version, Digest: notice.Digest, Rank: catalogsync.Rank(p.id, h.id)}
			})
		}
	}
	if pull := h.receiver.Advance(at, own, sources); pull != nil {
		r.sendPull(h, pull)
	}
	r.sendChunks(h)
}

func (r *replay) sendPull(h *replayHost, pull *catalogsync.Pull[string]) {
	p := r.byID[pull.Peer]
	h.changeBytes += pullBytes
	r.send(h, p, pullBytes, func() {
		p.sender.AddPull(h.id, pull.Message)
		r.sendChunks(p)
	})
}

func (r *replay) sendChunks(h *replayHost) {
	for _, reply := range h.sender.TakeReplies(time.Time{}.Add(r.now + time.Hour)) {
		p, chunk := r.byID[reply.Peer], reply.Chunk
		frame, _ := wire.Encode(chunk)
		if len(frame) > 16<<10 {
			r.violation = fmt.Sprintf("a frame of %d bytes", len(frame))
		}
		h.changeBytes += len(frame)
		r.send(h, p, len(frame), func() {
			pull, done, err := p.receiver.HandleChunk(time.Time{}.Add(r.now+time.Hour), h.id, chunk)
			switch {
			case err != nil:
				r.violation = err.Error()
			case pull != nil:
				r.sendPull(p, pull)
			case done != nil && p.isEntry:
				p.decoding = done.Version
				r.decode(p, done, agentDecodeTime)
			case done != nil:
				r.activate(p, done)
			}
		})
	}
}

// send transports a message. It is lost if a host is cut off or restarts before it arrives.
func (r *replay) send(from, to *replayHost, bytes int, arrive func()) {
	if from.broken || to.broken {
		return
	}
	bytes += headerBytes * (1 + bytes/packetBytes)
	from.sendFree = max(from.sendFree, r.now) + transferTime(bytes, from.megabits)
	sender, receiver := from.incarnation, to.incarnation
	r.at(from.sendFree+replayLatency-r.now, func() {
		if from.broken || to.broken || from.incarnation != sender {
			return
		}
		r.receive(to, bytes, func() {
			if to.incarnation == receiver {
				arrive()
			}
		})
	})
}

func (r *replay) receive(h *replayHost, bytes int, arrive func()) {
	h.writeFree = max(h.writeFree, r.now) + transferTime(bytes, h.megabits)
	r.at(h.writeFree-r.now, arrive)
}

func transferTime(bytes int, megabits float64) time.Duration {
	return time.Duration(float64(bytes) * 8 / megabits * float64(time.Microsecond))
}

func (r *replay) at(delay time.Duration, run func()) {
	r.sequence++
	heap.Push(&r.pending, replayEvent{at: r.now + delay, sequence: r.sequence, run: run})
}

func (r *replay) runFor(d time.Duration) {
	end := r.now + d
	for len(r.pending) > 0 && r.pending[0].at <= end {
		e := heap.Pop(&r.pending).(replayEvent)
		r.now = e.at
		e.run()
	}
	r.now = end
}

// lastActive returns when the last entry has put the version into force, or false if one has not.
func (r *replay) lastActive(version uint64) (time.Duration, bool) {
	last := time.Duration(0)
	for _, h := range r.hosts[:r.entries] {
		if catalogsync.VersionOf(h.snapshot) != version {
			return 0, false
		}
		last = max(last, h.activeAt)
	}
	return last, true
}

type replayEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventHeap []replayEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(replayEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// storedBytes is the size of the answer with which the store delivers n queues: about 190 bytes of JSON each, in base64.
func storedBytes(queues int) int { return queues * 190 * 4 / 3 }

// encodedQueues returns an encoded configuration whose names hardly repeat, as the worst case for its size.
func encodedQueues(queues int) []byte {
	random := rand.New(rand.NewPCG(1, 2))
	c := &catalog.Catalog{Version: 1}
	for range queues {
		c.Queues = append(c.Queues, catalog.Queue{
			Name: fmt.Sprintf("route-%08x", random.Uint32()), Host: fmt.Sprintf("h%06x.example", random.Uint32()>>8),
			Prefix: fmt.Sprintf("/p%08x/", random.Uint32()), Service: "bench", MaxAttempts: 3, ObjectiveFactor: 1.6,
		})
	}
	body, err := catalog.Encode(c)
	if err != nil {
		panic(err)
	}
	return body
}
