package catalogsync

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// HolderCount is the number of agents that hold a copy. With 8 copies over the data centres, entries that the store rejects
	// find one after the loss of a data centre, and an entry sends a value of 100 KB within 1.4 s at 4.75 Mbit/s, a quarter of
	// the slowest link.
	HolderCount = 8
	// NoticeInterval is the time after which a holder that still reports an older version is notified again.
	NoticeInterval = 500 * time.Millisecond
)

// Holders chooses the holders among the linked agents of an entry and decides when to notify them. All entries with links to
// the same agents choose the same holders, and a change of one agent changes at most one holder in each data centre.
type Holders struct {
	agents map[string]*linkedAgent
	chosen []*linkedAgent
	stale  bool // the set of agents has changed since the choice
	newest uint64
}

type linkedAgent struct {
	id, dataCentre string
	hash           uint64
	reported       bool // whether version is known
	version        uint64
	noticed        uint64 // version of the last notice
	noticedAt      time.Time
}

// NewHolders returns Holders without agents.
func NewHolders() *Holders { return &Holders{agents: make(map[string]*linkedAgent)} }

// AddAgent records that the link to an agent is open. The version of the agent is unknown until ReportVersion.
func (h *Holders) AddAgent(id, dataCentre string) {
	h.agents[id] = &linkedAgent{id: id, dataCentre: dataCentre, hash: xxhash.Sum64String(id)}
	h.stale = true
}

// RemoveAgent records that the link to an agent is closed.
func (h *Holders) RemoveAgent(id string) {
	delete(h.agents, id)
	h.stale = true
}

// ReportVersion records the version that a linked agent has; 0 is none.
func (h *Holders) ReportVersion(id string, version uint64) {
	if a := h.agents[id]; a != nil {
		a.reported, a.version = true, version
		h.newest = max(h.newest, version)
	}
}

// TakeDue returns the holders that have to be notified of a version now, and records the notices.
func (h *Holders) TakeDue(now time.Time, version uint64) []string {
	var due []string
	for _, a := range h.choose() {
		if !a.reported || a.version >= version || a.noticed == version && now.Sub(a.noticedAt) < NoticeInterval {
			continue
		}
		a.noticed, a.noticedAt = version, now
		due = append(due, a.id)
	}
	return due
}

// Sources returns the linked agents that report a version above own, with their rank for the entry self.
func (h *Holders) Sources(self string, own uint64) []Source[string] {
	if h.newest <= own {
		return nil
	}
	var sources []Source[string]
	for id, a := range h.agents {
		if a.version > own {
			sources = append(sources, Source[string]{Peer: id, Version: a.version, Rank: Rank(self, id)})
		}
	}
	return sources
}

// Chosen returns the ids of the holders.
func (h *Holders) Chosen() []string {
	var ids []string
	for _, a := range h.choose() {
		ids = append(ids, a.id)
	}
	return ids
}

// choose returns the holders. Each data centre in turn contributes its agent of the lowest hash that is not chosen yet.
func (h *Holders) choose() []*linkedAgent {
	if !h.stale {
		return h.chosen
	}
	h.stale, h.chosen = false, nil
	byDataCentre := make(map[string][]*linkedAgent)
	for _, a := range h.agents {
		byDataCentre[a.dataCentre] = append(byDataCentre[a.dataCentre], a)
	}
	names := make([]string, 0, len(byDataCentre))
	for name, agents := range byDataCentre {
		names = append(names, name)
		slices.SortFunc(agents, func(a, b *linkedAgent) int {
			return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
		})
	}
	slices.Sort(names)
	for turn := 0; len(h.chosen) < min(HolderCount, len(h.agents)); turn++ {
		for _, name := range names {
			if agents := byDataCentre[name]; turn < len(agents) && len(h.chosen) < HolderCount {
				h.chosen = append(h.chosen, agents[turn])
			}
		}
	}
	return h.chosen
}
