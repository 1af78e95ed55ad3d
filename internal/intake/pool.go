package intake

import (
	"net/netip"
	"sync"
)

// Kinds of pools.
const (
	headerPool = iota
	bodyPool
	poolKinds
)

// pool is an amount of memory that connections share. No address can take more than a share of it.
type pool struct {
	kind  int
	limit int64

	mu        sync.Mutex
	used      int64
	byAddress map[netip.Addr]int64
}

// addressNumerator and addressDenominator are the share of a pool that one address can hold.
const addressNumerator, addressDenominator = 3, 4

func newPool(kind int, limit int64) *pool {
	return &pool{kind: kind, limit: limit, byAddress: make(map[netip.Addr]int64)}
}

// take takes an amount for an address and reports whether there was room for it.
func (p *pool) take(address netip.Addr, amount int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.used+amount > p.limit || p.byAddress[address]+amount > p.limit/addressDenominator*addressNumerator {
		return false
	}
	p.used += amount
	p.byAddress[address] += amount
	return true
}

// put returns an amount that was taken.
func (p *pool) put(address netip.Addr, amount int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used -= amount
	if p.byAddress[address] -= amount; p.byAddress[address] <= 0 {
		delete(p.byAddress, address)
	}
}

func (p *pool) inUse() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used
}
