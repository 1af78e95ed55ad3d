package workeragent

import (
	"time"

	"github.com/apex/log"

	"github.com/coltsfootspur/coltsfootspur/internal/catalogsync"
	"github.com/coltsfootspur/coltsfootspur/internal/runs"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// catalogState is the copy of the configuration that the agent holds for entries which the store rejects. The agent does not
// decode it.
type catalogState struct {
	snapshot *catalogsync.Snapshot // nil unless an entry has chosen this agent as a holder
	sender   *catalogsync.Sender[runs.Owner]
	receiver *catalogsync.Receiver[runs.Owner]
}

func newCatalogState(bytesPerSecond float64) catalogState {
	if bytesPerSecond <= 0 {
		bytesPerSecond = catalogsync.DefaultRate
	}
	return catalogState{
		sender:   catalogsync.NewSender[runs.Owner](bytesPerSecond),
		receiver: catalogsync.NewReceiver[runs.Owner](catalogsync.HolderDelay),
	}
}

// syncCatalog pulls the configuration from an entry that has announced a newer version.
func (c *control) syncCatalog(now time.Time) {
	own := catalogsync.VersionOf(c.catalogs.snapshot)
	var sources []catalogsync.Source[runs.Owner]
	for id, o := range c.owners {
		if o.link != nil && o.notice != nil && o.notice.Version > own {
			sources = append(sources, catalogsync.Source[runs.Owner]{
				Peer: id, Version: o.notice.Version, Digest: o.notice.Digest, Rank: catalogsync.Rank(c.agent.options.ID, o.id),
			})
		}
	}
	c.sendPull(c.catalogs.receiver.Advance(now, own, sources))
}

func (c *control) sendPull(pull *catalogsync.Pull[runs.Owner]) {
	if pull == nil {
		return
	}
	if pull.Resumed {
		c.agent.options.Metrics.Catalog.TransfersResumed.Add(1)
	}
	if o := c.owners[pull.Peer]; o != nil {
		o.send(pull.Message)
	}
}

func (c *control) applyChunk(now time.Time, id runs.Owner, o *owner, m *wire.CatalogChunk) {
	metrics := &c.agent.options.Metrics.Catalog
	pull, snapshot, err := c.catalogs.receiver.HandleChunk(now, id, m)
	if err != nil {
		metrics.TransfersRejected.Add(1)
		c.log.WithFields(log.Fields{"entry": o.id, "version": m.Version, "error": err.Error()}).
			Error("agent: malformed chunk of the configuration, the transfer begins anew at another entry")
		return
	}
	c.sendPull(pull)
	if snapshot == nil {
		return
	}
	metrics.TransfersDone.Add(1)
	metrics.RecordSnapshot(snapshot)
	c.catalogs.snapshot = snapshot
	c.catalogs.sender.SetSnapshot(snapshot)
	for _, other := range c.owners {
		other.versionPending = true
	}
	c.log.WithFields(log.Fields{"entry": o.id, "version": snapshot.Version, "bytes": len(snapshot.Body)}).
		Info("agent: holds a copy of the configuration")
}

// sendChunks answers the pulls of entries as far as the byte rate allows.
func (c *control) sendChunks(now time.Time) {
	for _, reply := range c.catalogs.sender.TakeReplies(now) {
		o := c.owners[reply.Peer]
		if o == nil {
			continue
		}
		c.agent.options.Metrics.Catalog.RecordChunk(len(reply.Chunk.Body))
		if reply.Chunk.Offset == 0 {
			c.log.WithFields(log.Fields{"entry": o.id, "version": reply.Chunk.Version}).Info("agent: sends the configuration to an entry with an older one")
		}
		o.send(reply.Chunk)
	}
}
