package catalogsync

import "expvar"

// Metrics counts the transfers of the configuration of one process.
type Metrics struct {
	// Version is the version that the process has, Bytes the size of its encoded form.
	Version, Bytes expvar.Int
	// NoticesSent counts notices to holders, ChunksSent and BytesSent the answers to pulls, without headers.
	NoticesSent, ChunksSent, BytesSent expvar.Int
	// TransfersDone counts versions that were received from another process, TransfersResumed the changes of the source within
	// a transfer, TransfersRejected the malformed chunks and bodies.
	TransfersDone, TransfersResumed, TransfersRejected expvar.Int
}

// AddTo adds the metrics to vars under the names by which they are published.
func (m *Metrics) AddTo(vars *expvar.Map) {
	vars.Set("catalog_version", &m.Version)
	vars.Set("catalog_bytes", &m.Bytes)
	vars.Set("catalog_notices_sent", &m.NoticesSent)
	vars.Set("catalog_chunks_sent", &m.ChunksSent)
	vars.Set("catalog_bytes_sent", &m.BytesSent)
	vars.Set("catalog_transfers", &m.TransfersDone)
	vars.Set("catalog_transfers_resumed", &m.TransfersResumed)
	vars.Set("catalog_transfers_rejected", &m.TransfersRejected)
}

// RecordSnapshot records the snapshot that the process has.
func (m *Metrics) RecordSnapshot(s *Snapshot) {
	m.Version.Set(int64(s.Version))
	m.Bytes.Set(int64(len(s.Body)))
}

// RecordChunk records a chunk that is sent.
func (m *Metrics) RecordChunk(bodyBytes int) {
	m.ChunksSent.Add(1)
	m.BytesSent.Add(int64(bodyBytes))
}
