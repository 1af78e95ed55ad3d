package store_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/clock"
	"github.com/coltsfootspur/coltsfootspur/internal/standin/consul"
	"github.com/coltsfootspur/coltsfootspur/internal/store"
)

const (
	shortTimeout = 150 * time.Millisecond
	leaseTTL     = 10 * time.Second
	key          = "coltsfootspur/services/a b"
)

type bench struct {
	*gomega.WithT
	server *consul.Server
	store  *store.Consul
	ctx    context.Context
}

func newBench(t *testing.T, timeout time.Duration, c clock.Clock) *bench {
	g := gomega.NewWithT(t)
	server, err := consul.Start("127.0.0.1:0", consul.Options{Clock: c})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(server.Close)
	store, err := store.NewConsul(store.Options{Address: server.URL(), CallTimeout: timeout})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(store.Close)
	return &bench{WithT: g, server: server, store: store, ctx: t.Context()}
}

func (b *bench) faults(f consul.Faults) { b.Expect(b.server.SetFaults(f)).To(gomega.Succeed()) }

func (b *bench) value() string {
	entry, err := b.store.Get(b.ctx, key)
	b.Expect(err).NotTo(gomega.HaveOccurred())
	return string(entry.Value)
}

// Guards against a swap that ignores the version, and against keys that are not escaped.
func TestCompareAndSwapNeedsTheVersion(t *testing.T) {
	b := newBench(t, store.DefaultCallTimeout, nil)
	_, err := b.store.Get(b.ctx, key)
	b.Expect(errors.Is(err, store.ErrNotFound)).To(gomega.BeTrue())
	b.Expect(b.store.CompareAndSwap(b.ctx, key, []byte("1"), 0)).To(gomega.Succeed())
	entry, err := b.store.Get(b.ctx, key)
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.Expect(entry.Key).To(gomega.Equal(key))
	for _, stale := range []uint64{0, entry.Version + 1, entry.Version - 1} {
		err := b.store.CompareAndSwap(b.ctx, key, []byte("2"), stale)
		b.Expect(errors.Is(err, store.ErrConflict)).To(gomega.BeTrue())
	}
	b.Expect(b.store.CompareAndSwap(b.ctx, key, []byte("3"), entry.Version)).To(gomega.Succeed())
	b.Expect(b.value()).To(gomega.Equal("3"))
	list, err := b.store.List(b.ctx, store.Prefix)
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.Expect(list.Entries).To(gomega.HaveLen(1))
}

// Guards against a write that is reported as failed although it took effect.
func TestLostAnswerIsAnUnknownOutcome(t *testing.T) {
	b := newBench(t, store.DefaultCallTimeout, nil)
	b.faults(consul.Faults{LoseAnswers: 1})
	err := b.store.CompareAndSwap(b.ctx, key, []byte("1"), 0)
	b.Expect(errors.Is(err, store.ErrOutcomeUnknown)).To(gomega.BeTrue())
	b.Expect(errors.Is(err, store.ErrUnavailable)).To(gomega.BeFalse())
	b.Expect(b.value()).To(gomega.Equal("1"))
}

// Guards against a slow write that is reported as failed and takes effect after its client gave up.
func TestSlowWriteIsAnUnknownOutcome(t *testing.T) {
	b := newBench(t, shortTimeout, nil)
	b.faults(consul.Faults{DelayMillis: 400})
	err := b.store.CompareAndSwap(b.ctx, key, []byte("late"), 0)
	b.Expect(errors.Is(err, store.ErrOutcomeUnknown)).To(gomega.BeTrue())
	_, err = b.store.Get(b.ctx, key)
	b.Expect(errors.Is(err, store.ErrUnavailable)).To(gomega.BeTrue())
	b.faults(consul.Faults{})
	b.Eventually(func() (string, error) {
		entry, err := b.store.Get(b.ctx, key)
		return string(entry.Value), err
	}, "5s", "20ms").Should(gomega.Equal("late"))
}

// Guards against calls that wait forever for a store that is down, and against wrong conversions of its errors.
func TestStoreDown(t *testing.T) {
	// Only calls that hang take the whole timeout. It bounds the last read as well, which has to succeed on a busy host.
	const hangTimeout = 600 * time.Millisecond
	for down, timeout := range map[string]time.Duration{
		consul.DownClose: store.DefaultCallTimeout, consul.DownError: store.DefaultCallTimeout, consul.DownHang: hangTimeout,
	} {
		t.Run(down, func(t *testing.T) {
			b := newBench(t, timeout, nil)
			b.faults(consul.Faults{Down: down})
			_, err := b.store.Get(b.ctx, key)
			b.Expect(errors.Is(err, store.ErrUnavailable)).To(gomega.BeTrue())
			_, err = b.store.Watch(b.ctx, store.Prefix, 1, time.Millisecond)
			b.Expect(errors.Is(err, store.ErrUnavailable)).To(gomega.BeTrue())
			err = b.store.CompareAndSwap(b.ctx, key, []byte("1"), 0)
			b.Expect(errors.Is(err, store.ErrOutcomeUnknown)).To(gomega.BeTrue())
			_, err = b.store.CreateLease(b.ctx, leaseTTL)
			b.Expect(errors.Is(err, store.ErrOutcomeUnknown)).To(gomega.BeTrue())
			b.faults(consul.Faults{})
			_, err = b.store.Get(b.ctx, key)
			b.Expect(errors.Is(err, store.ErrNotFound)).To(gomega.BeTrue())
		})
	}
}

// Guards against an unknown outcome where no connection was made, so that the write certainly had no effect.
func TestRefusedConnectionIsUnavailable(t *testing.T) {
	g := gomega.NewWithT(t)
	const unused = "127.0.0.1:1" // a port that was closed just now can be taken by another process
	c, err := store.NewConsul(store.Options{Address: "http://" + unused})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	err = c.CompareAndSwap(t.Context(), key, nil, 0)
	g.Expect(errors.Is(err, store.ErrUnavailable)).To(gomega.BeTrue())
}

// Guards against values above the limit that reach the store, and against a store limit that is not recognized.
func TestTooLarge(t *testing.T) {
	b := newBench(t, store.DefaultCallTimeout, nil)
	err := b.store.CompareAndSwap(b.ctx, key, make([]byte, store.MaxValue+1), 0)
	b.Expect(errors.Is(err, store.ErrTooLarge)).To(gomega.BeTrue())
	b.Expect(b.server.Calls().Total).To(gomega.BeEmpty())
	b.Expect(b.store.CompareAndSwap(b.ctx, key, make([]byte, store.MaxValue), 0)).To(gomega.Succeed())
	small, err := consul.Start("127.0.0.1:0", consul.Options{MaxValue: 10})
	b.Expect(err).NotTo(gomega.HaveOccurred())
	defer small.Close()
	limited, err := store.NewConsul(store.Options{Address: small.URL()})
	b.Expect(err).NotTo(gomega.HaveOccurred())
	err = limited.CompareAndSwap(b.ctx, key, make([]byte, 11), 0)
	b.Expect(errors.Is(err, store.ErrTooLarge)).To(gomega.BeTrue())
}

// Guards against a lease whose key outlives it, and against two leases that hold one key.
func TestLeaseExpires(t *testing.T) {
	fake := clock.NewFake(time.Unix(1_700_000_000, 0))
	b := newBench(t, store.DefaultCallTimeout, fake)
	lease, err := b.store.CreateLease(b.ctx, leaseTTL)
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.Expect(b.store.BindKey(b.ctx, lease, key, []byte("mine"))).To(gomega.Succeed())
	other, err := b.store.CreateLease(b.ctx, leaseTTL)
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.Expect(errors.Is(b.store.BindKey(b.ctx, other, key, nil), store.ErrConflict)).To(gomega.BeTrue())
	fake.Advance(leaseTTL - time.Second)
	b.Expect(b.store.RenewLease(b.ctx, lease)).To(gomega.Succeed())
	fake.Advance(leaseTTL - time.Second)
	b.Expect(b.value()).To(gomega.Equal("mine"))
	fake.Advance(time.Second)
	_, err = b.store.Get(b.ctx, key)
	b.Expect(errors.Is(err, store.ErrNotFound)).To(gomega.BeTrue())
	b.Expect(errors.Is(b.store.RenewLease(b.ctx, lease), store.ErrNotFound)).To(gomega.BeTrue())
	b.Expect(errors.Is(b.store.BindKey(b.ctx, lease, key, nil), store.ErrNotFound)).To(gomega.BeTrue())
	b.Expect(b.store.ReleaseLease(b.ctx, lease)).To(gomega.Succeed())
}

// Guards against leases that survive a forced expiry, which holders see after a pause.
func TestForcedExpiryAndRelease(t *testing.T) {
	b := newBench(t, store.DefaultCallTimeout, nil)
	lease, err := b.store.CreateLease(b.ctx, leaseTTL)
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.Expect(b.store.BindKey(b.ctx, lease, key, nil)).To(gomega.Succeed())
	b.server.ExpireLeases()
	b.Expect(errors.Is(b.store.RenewLease(b.ctx, lease), store.ErrNotFound)).To(gomega.BeTrue())
	lease, err = b.store.CreateLease(b.ctx, leaseTTL)
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.Expect(b.store.BindKey(b.ctx, lease, key, nil)).To(gomega.Succeed())
	b.Expect(b.store.ReleaseLease(b.ctx, lease)).To(gomega.Succeed())
	_, err = b.store.Get(b.ctx, key)
	b.Expect(errors.Is(err, store.ErrNotFound)).To(gomega.BeTrue())
}

// watch starts a watch and returns the channel of its result.
func (b *bench) watch(index uint64) <-chan store.Snapshot {
	result := make(chan store.Snapshot, 1)
	go func() {
		s, err := b.store.Watch(b.ctx, store.Prefix, index, time.Minute)
		if err == nil {
			result <- s
		}
	}()
	return result
}

// Guards against a watch that misses a change, wakes for other keys, or ignores that the store went back.
func TestWatch(t *testing.T) {
	b := newBench(t, store.DefaultCallTimeout, nil)
	b.Expect(b.store.CompareAndSwap(b.ctx, key, []byte("old"), 0)).To(gomega.Succeed())
	first, err := b.store.Watch(b.ctx, store.Prefix, 0, time.Minute)
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.server.Snapshot()

	waiting := b.watch(first.Index)
	b.Expect(b.store.CompareAndSwap(b.ctx, "elsewhere/key", nil, 0)).To(gomega.Succeed())
	b.Consistently(waiting, "100ms").ShouldNot(gomega.Receive())
	b.Expect(b.store.CompareAndSwap(b.ctx, key, []byte("new"), first.Entries[0].Version)).To(gomega.Succeed())
	var second store.Snapshot
	b.Eventually(waiting, "5s").Should(gomega.Receive(&second))
	b.Expect(string(second.Entries[0].Value)).To(gomega.Equal("new"))
	b.Expect(second.Index).To(gomega.BeNumerically(">", first.Index))

	waiting = b.watch(second.Index)
	b.Consistently(waiting, "50ms").ShouldNot(gomega.Receive())
	b.server.Restore()
	var third store.Snapshot
	b.Eventually(waiting, "5s").Should(gomega.Receive(&third))
	b.Expect(string(third.Entries[0].Value)).To(gomega.Equal("old"))
	b.Expect(third.Index).To(gomega.Equal(first.Index))
}

// Guards against a watch on a silent connection that never ends.
func TestWatchEndsOnSilence(t *testing.T) {
	b := newBench(t, shortTimeout, nil)
	b.Expect(b.store.CompareAndSwap(b.ctx, key, nil, 0)).To(gomega.Succeed())
	b.faults(consul.Faults{Down: consul.DownHang})
	start := time.Now()
	_, err := b.store.Watch(b.ctx, store.Prefix, 5, shortTimeout)
	b.Expect(errors.Is(err, store.ErrUnavailable)).To(gomega.BeTrue())
	b.Expect(time.Since(start)).To(gomega.BeNumerically("<", 5*time.Second))
}

// Guards against metrics that miss a kind of call.
func TestCallsAreCounted(t *testing.T) {
	b := newBench(t, store.DefaultCallTimeout, nil)
	_, _ = b.store.Get(b.ctx, key)
	_, _ = b.store.List(b.ctx, key)
	b.faults(consul.Faults{Down: consul.DownError})
	_ = b.store.CompareAndSwap(b.ctx, key, nil, 0)
	vars := strings.ReplaceAll(b.store.Vars().String(), " ", "")
	b.Expect(vars).To(gomega.Equal(`{"calls":{"compare_and_swap":1,"get":1,"list":1},"failed":{"compare_and_swap":1}}`))
	b.Expect(b.server.Calls().Total).To(gomega.HaveLen(3))
}
