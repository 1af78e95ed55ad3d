package jobentry

import (
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/catalog"
	"github.com/coltsfootspur/coltsfootspur/internal/catalogsync"
	"github.com/coltsfootspur/coltsfootspur/internal/scheduler"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// catalogState is what an entry knows about the configuration at its agents.
type catalogState struct {
	holders  *catalogsync.Holders
	sender   *catalogsync.Sender[string]
	receiver *catalogsync.Receiver[string]
	snapshot *catalogsync.Snapshot // the configuration in force, encoded for holders; nil before the first one
	decoding uint64                // version that a goroutine decodes; 0 is none
}

func newCatalogState(bytesPerSecond float64) catalogState {
	if bytesPerSecond <= 0 {
		bytesPerSecond = catalogsync.DefaultRate
	}
	return catalogState{
		holders: catalogsync.NewHolders(), sender: catalogsync.NewSender[string](bytesPerSecond),
		receiver: catalogsync.NewReceiver[string](catalogsync.EntryDelay),
	}
}

type (
	// catalogReady is a configuration with its index and its encoded form. source is its origin, for the log.
	catalogReady struct {
		catalog  *catalog.Catalog
		snapshot *catalogsync.Snapshot
		source   string
	}
	// catalogUndecodable is a configuration from an agent that cannot be decoded.
	catalogUndecodable struct {
		agent   string
		version uint64
		err     error
	}
)

// SetCatalog passes a configuration from the store. It is ignored unless it is newer than the one in force. SetCatalog builds
// the index and encodes the configuration in the calling goroutine; c must not be changed or read until it returns.
func (e *Entry) SetCatalog(c *catalog.Catalog) {
	if !c.Newer(e.Catalog()) {
		return
	}
	c.BuildIndex()
	body, err := catalog.Encode(c)
	if err != nil {
		e.options.Log.WithError(err).Error("entry: cannot encode the new configuration, keeping the present one")
		return
	}
	e.post(catalogReady{catalog: c, snapshot: catalogsync.NewSnapshot(c.Version, body), source: "store"})
}

// apply puts a newer configuration into force.
func (e catalogReady) apply(c *control, _ time.Time) {
	if c.catalogs.decoding == e.catalog.Version {
		c.catalogs.decoding = 0
	}
	if !e.catalog.Newer(c.entry.Catalog()) {
		return
	}
	fields := log.Fields{
		"version": e.catalog.Version, "former": catalog.VersionOf(c.entry.Catalog()), "queues": len(e.catalog.Queues), "source": e.source,
		"bytes": len(e.snapshot.Body),
	}
	c.log.WithFields(fields).Info("entry: configuration is in force")
	c.entry.catalog.Store(e.catalog)
	c.entry.options.Metrics.Catalog.RecordSnapshot(e.snapshot)
	if len(e.snapshot.Body) > catalogsync.MaxBody {
		c.log.WithFields(fields).Error("entry: configuration is too large for the agents, only entries that read the store get it")
		return
	}
	c.catalogs.snapshot = e.snapshot
	c.catalogs.sender.SetSnapshot(e.snapshot)
}

func (e catalogUndecodable) apply(c *control, now time.Time) {
	c.catalogs.decoding = 0
	c.catalogs.receiver.Reject(now, e.agent)
	c.entry.options.Metrics.Catalog.TransfersRejected.Add(1)
	c.log.WithFields(log.Fields{"agent": e.agent, "version": e.version, "error": e.err.Error()}).
		Error("entry: cannot decode the configuration of an agent, keeping the present one")
}

// syncCatalog notifies the holders that have an older configuration than the entry, and pulls a newer one from an agent: the
// store may be unavailable to this entry. An entry without any configuration pulls without delay.
func (c *control) syncCatalog(now time.Time) {
	s := &c.catalogs
	if s.snapshot != nil {
		for _, id := range s.holders.TakeDue(now, s.snapshot.Version) {
			c.entry.options.Metrics.Catalog.NoticesSent.Add(1)
			c.send(c.agents[scheduler.AgentID(id)], s.snapshot.Notice())
		}
	}
	own := max(catalog.VersionOf(c.entry.Catalog()), s.decoding)
	c.sendPull(s.receiver.Advance(now, own, s.holders.Sources(c.entry.options.ID, own)))
}

func (c *control) sendPull(pull *catalogsync.Pull[string]) {
	if pull == nil {
		return
	}
	if pull.Resumed {
		c.entry.options.Metrics.Catalog.TransfersResumed.Add(1)
	}
	if pull.Resumed || pull.Message.Offset == 0 {
		c.log.WithFields(log.Fields{
			"agent": pull.Peer, "version": pull.Message.Version, "offset": pull.Message.Offset, "resumed": pull.Resumed,
			"own": catalog.VersionOf(c.entry.Catalog()),
		}).Info("entry: pulls the configuration from an agent")
	}
	c.send(c.agents[scheduler.AgentID(pull.Peer)], pull.Message)
}

func (c *control) applyChunk(now time.Time, a *agentConn, m *wire.CatalogChunk) {
	pull, snapshot, err := c.catalogs.receiver.HandleChunk(now, string(a.id), m)
	if err != nil {
		c.entry.options.Metrics.Catalog.TransfersRejected.Add(1)
		c.log.WithFields(log.Fields{"agent": a.id, "version": m.Version, "error": err.Error()}).
			Error("entry: malformed chunk of the configuration, the transfer begins anew at another agent")
		return
	}
	c.sendPull(pull)
	if snapshot == nil {
		return
	}
	c.entry.options.Metrics.Catalog.TransfersDone.Add(1)
	c.catalogs.decoding = snapshot.Version
	go c.entry.decodeCatalog(snapshot, string(a.id))
}

// decodeCatalog decodes the configuration of an agent. It runs in a goroutine of its own: decoding 1 MB takes 100 ms on a small
// host, longer than the control goroutine may be late.
func (e *Entry) decodeCatalog(s *catalogsync.Snapshot, agent string) {
	fail := func(err error) { e.post(catalogUndecodable{agent: agent, version: s.Version, err: err}) }
	defer func() {
		if p := recover(); p != nil {
			fail(eris.Wrapf(catalog.ErrMalformed, "panic: %v", p))
		}
	}()
	decoded, err := catalog.Decode(s.Body)
	switch {
	case err != nil:
		fail(err)
	case decoded.Version != s.Version:
		fail(eris.Wrapf(catalog.ErrMalformed, "version %d, expected %d", decoded.Version, s.Version))
	default:
		e.post(catalogReady{catalog: decoded, snapshot: s, source: "agent " + agent})
	}
}

// sendChunks answers the pulls of agents as far as the byte rate allows.
func (c *control) sendChunks(now time.Time) {
	for _, reply := range c.catalogs.sender.TakeReplies(now) {
		c.entry.options.Metrics.Catalog.RecordChunk(len(reply.Chunk.Body))
		c.send(c.agents[scheduler.AgentID(reply.Peer)], reply.Chunk)
	}
}
