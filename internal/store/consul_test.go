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

type fixture struct {
	*gomega.WithT
	server *consul.Server
	store  *store.Consul
	ctx    context.Context
}

func newFixture(t *testing.T, timeout time.Duration, c clock.Clock) *fixture {
	g := gomega.NewWithT(t)
	server, err := consul.Start("127.0.0.1:0", consul.Options{Clock: c})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(server.Close)
	client, err := store.NewConsul(store.Options{Address: server.URL(), CallTimeout: timeout})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(client.Close)
	return &fixture{WithT: g, server: server, store: client, ctx: t.Context()}
}

func (f *fixture) setFaults(s consul.Faults) { f.Expect(f.server.SetFaults(s)).To(gomega.Succeed()) }

func (f *fixture) storedValue() string {
	entry, err := f.store.Get(f.ctx, key)
	f.Expect(err).NotTo(gomega.HaveOccurred())
	return string(entry.Value)
}

// Guards against a compare-and-swap that ignores the version, and against keys that are not escaped in the URL.
func TestCompareAndSwapNeedsTheVersion(t *testing.T) {
	f := newFixture(t, store.DefaultCallTimeout, nil)
	_, err := f.store.Get(f.ctx, key)
	f.Expect(errors.Is(err, store.ErrNotFound)).To(gomega.BeTrue())
	f.Expect(f.store.CompareAndSwap(f.ctx, key, []byte("1"), 0)).To(gomega.Succeed())
	entry, err := f.store.Get(f.ctx, key)
	f.Expect(err).NotTo(gomega.HaveOccurred())
	f.Expect(entry.Key).To(gomega.Equal(key))
	for _, stale := range []uint64{0, entry.Version + 1, entry.Version - 1} {
		err := f.store.CompareAndSwap(f.ctx, key, []byte("2"), stale)
		f.Expect(errors.Is(err, store.ErrConflict)).To(gomega.BeTrue())
	}
	f.Expect(f.store.CompareAndSwap(f.ctx, key, []byte("3"), entry.Version)).To(gomega.Succeed())
	f.Expect(f.storedValue()).To(gomega.Equal("3"))
	list, err := f.store.List(f.ctx, store.Prefix)
	f.Expect(err).NotTo(gomega.HaveOccurred())
	f.Expect(list.Entries).To(gomega.HaveLen(1))
}

// Guards against a write that is reported as failed although it took effect.
func TestLostAnswerIsAnUnknownOutcome(t *testing.T) {
	f := newFixture(t, store.DefaultCallTimeout, nil)
	f.setFaults(consul.Faults{LoseAnswers: 1})
	err := f.store.CompareAndSwap(f.ctx, key, []byte("1"), 0)
	f.Expect(errors.Is(err, store.ErrOutcomeUnknown)).To(gomega.BeTrue())
	f.Expect(errors.Is(err, store.ErrUnavailable)).To(gomega.BeFalse())
	f.Expect(f.storedValue()).To(gomega.Equal("1"))
}

// Guards against a slow write that is reported as failed but takes effect after the client has given up.
func TestSlowWriteIsAnUnknownOutcome(t *testing.T) {
	f := newFixture(t, shortTimeout, nil)
	f.setFaults(consul.Faults{DelayMillis: 400})
	err := f.store.CompareAndSwap(f.ctx, key, []byte("late"), 0)
	f.Expect(errors.Is(err, store.ErrOutcomeUnknown)).To(gomega.BeTrue())
	_, err = f.store.Get(f.ctx, key)
	f.Expect(errors.Is(err, store.ErrUnavailable)).To(gomega.BeTrue())
	f.setFaults(consul.Faults{})
	f.Eventually(func() (string, error) {
		entry, err := f.store.Get(f.ctx, key)
		return string(entry.Value), err
	}, "5s", "20ms").Should(gomega.Equal("late"))
}

// Guards against calls that wait forever for a store that is down, and against wrong errors for its failures.
func TestStoreDown(t *testing.T) {
	// Only calls that hang take the whole timeout. It also bounds the last read, which must succeed on a busy host.
	const hangTimeout = 600 * time.Millisecond
	for down, timeout := range map[string]time.Duration{
		consul.DownClose: store.DefaultCallTimeout, consul.DownError: store.DefaultCallTimeout, consul.DownHang: hangTimeout,
	} {
		t.Run(down, func(t *testing.T) {
			f := newFixture(t, timeout, nil)
			f.setFaults(consul.Faults{Down: down})
			_, err := f.store.Get(f.ctx, key)
			f.Expect(errors.Is(err, store.ErrUnavailable)).To(gomega.BeTrue())
			_, err = f.store.Watch(f.ctx, store.Prefix, 1, time.Millisecond)
			f.Expect(errors.Is(err, store.ErrUnavailable)).To(gomega.BeTrue())
			err = f.store.CompareAndSwap(f.ctx, key, []byte("1"), 0)
			f.Expect(errors.Is(err, store.ErrOutcomeUnknown)).To(gomega.BeTrue())
			_, err = f.store.CreateLease(f.ctx, leaseTTL)
			f.Expect(errors.Is(err, store.ErrOutcomeUnknown)).To(gomega.BeTrue())
			f.setFaults(consul.Faults{})
			_, err = f.store.Get(f.ctx, key)
			f.Expect(errors.Is(err, store.ErrNotFound)).To(gomega.BeTrue())
		})
	}
}

// Guards against an unknown outcome of a write for which no connection was made and which therefore had no effect.
func TestRefusedConnectionIsUnavailable(t *testing.T) {
	g := gomega.NewWithT(t)
	const unused = "127.0.0.1:1" // another process could take over a port that was listened on and closed just before
	c, err := store.NewConsul(store.Options{Address: "http://" + unused})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	err = c.CompareAndSwap(t.Context(), key, nil, 0)
	g.Expect(errors.Is(err, store.ErrUnavailable)).To(gomega.BeTrue())
}

// Guards against sending values above MaxValue to the store, and against not recognizing a refusal by a store whose own
// limit is lower.
func TestTooLarge(t *testing.T) {
	f := newFixture(t, store.DefaultCallTimeout, nil)
	err := f.store.CompareAndSwap(f.ctx, key, make([]byte, store.MaxValue+1), 0)
	f.Expect(errors.Is(err, store.ErrTooLarge)).To(gomega.BeTrue())
	f.Expect(f.server.Calls().Total).To(gomega.BeEmpty())
	f.Expect(f.store.CompareAndSwap(f.ctx, key, make([]byte, store.MaxValue), 0)).To(gomega.Succeed())
	small, err := consul.Start("127.0.0.1:0", consul.Options{MaxValue: 10})
	f.Expect(err).NotTo(gomega.HaveOccurred())
	defer small.Close()
	limited, err := store.NewConsul(store.Options{Address: small.URL()})
	f.Expect(err).NotTo(gomega.HaveOccurred())
	err = limited.CompareAndSwap(f.ctx, key, make([]byte, 11), 0)
	f.Expect(errors.Is(err, store.ErrTooLarge)).To(gomega.BeTrue())
}

// Guards against a key that stays after its lease has expired, and against a key that is bound to two leases.
func TestLeaseExpires(t *testing.T) {
	fake := clock.NewFake(time.Unix(1_700_000_000, 0))
	f := newFixture(t, store.DefaultCallTimeout, fake)
	lease, err := f.store.CreateLease(f.ctx, leaseTTL)
	f.Expect(err).NotTo(gomega.HaveOccurred())
	f.Expect(f.store.BindKey(f.ctx, lease, key, []byte("mine"))).To(gomega.Succeed())
	other, err := f.store.CreateLease(f.ctx, leaseTTL)
	f.Expect(err).NotTo(gomega.HaveOccurred())
	f.Expect(errors.Is(f.store.BindKey(f.ctx, other, key, nil), store.ErrConflict)).To(gomega.BeTrue())
	fake.Advance(leaseTTL - time.Second)
	f.Expect(f.store.RenewLease(f.ctx, lease)).To(gomega.Succeed())
	fake.Advance(leaseTTL - time.Second)
	f.Expect(f.storedValue()).To(gomega.Equal("mine"))
	fake.Advance(time.Second)
	_, err = f.store.Get(f.ctx, key)
	f.Expect(errors.Is(err, store.ErrNotFound)).To(gomega.BeTrue())
	f.Expect(errors.Is(f.store.RenewLease(f.ctx, lease), store.ErrNotFound)).To(gomega.BeTrue())
	f.Expect(errors.Is(f.store.BindKey(f.ctx, lease, key, nil), store.ErrNotFound)).To(gomega.BeTrue())
	f.Expect(f.store.ReleaseLease(f.ctx, lease)).To(gomega.Succeed())
}

// Guards against leases that stay valid after the store has ended them, as the holder of a lease finds after a long pause,
// and against keys that stay after their lease was released.
func TestForcedExpiryAndRelease(t *testing.T) {
	f := newFixture(t, store.DefaultCallTimeout, nil)
	lease, err := f.store.CreateLease(f.ctx, leaseTTL)
	f.Expect(err).NotTo(gomega.HaveOccurred())
	f.Expect(f.store.BindKey(f.ctx, lease, key, nil)).To(gomega.Succeed())
	f.server.ExpireLeases()
	f.Expect(errors.Is(f.store.RenewLease(f.ctx, lease), store.ErrNotFound)).To(gomega.BeTrue())
	lease, err = f.store.CreateLease(f.ctx, leaseTTL)
	f.Expect(err).NotTo(gomega.HaveOccurred())
	f.Expect(f.store.BindKey(f.ctx, lease, key, nil)).To(gomega.Succeed())
	f.Expect(f.store.ReleaseLease(f.ctx, lease)).To(gomega.Succeed())
	_, err = f.store.Get(f.ctx, key)
	f.Expect(errors.Is(err, store.ErrNotFound)).To(gomega.BeTrue())
}

// startWatch starts a watch in a goroutine and returns a channel that receives its result.
func (f *fixture) startWatch(index uint64) <-chan store.Snapshot {
	result := make(chan store.Snapshot, 1)
	go func() {
		s, err := f.store.Watch(f.ctx, store.Prefix, index, time.Minute)
		if err == nil {
			result <- s
		}
	}()
	return result
}

// Guards against a watch that misses a change, returns for other keys, or does not notice that the store was restored from
// older data.
func TestWatch(t *testing.T) {
	f := newFixture(t, store.DefaultCallTimeout, nil)
	f.Expect(f.store.CompareAndSwap(f.ctx, key, []byte("old"), 0)).To(gomega.Succeed())
	first, err := f.store.Watch(f.ctx, store.Prefix, 0, time.Minute)
	f.Expect(err).NotTo(gomega.HaveOccurred())
	f.server.Snapshot()

	waiting := f.startWatch(first.Index)
	f.Expect(f.store.CompareAndSwap(f.ctx, "elsewhere/key", nil, 0)).To(gomega.Succeed())
	f.Consistently(waiting, "100ms").ShouldNot(gomega.Receive())
	f.Expect(f.store.CompareAndSwap(f.ctx, key, []byte("new"), first.Entries[0].Version)).To(gomega.Succeed())
	var second store.Snapshot
	f.Eventually(waiting, "5s").Should(gomega.Receive(&second))
	f.Expect(string(second.Entries[0].Value)).To(gomega.Equal("new"))
	f.Expect(second.Index).To(gomega.BeNumerically(">", first.Index))

	waiting = f.startWatch(second.Index)
	f.Consistently(waiting, "50ms").ShouldNot(gomega.Receive())
	f.server.Restore()
	var third store.Snapshot
	f.Eventually(waiting, "5s").Should(gomega.Receive(&third))
	f.Expect(string(third.Entries[0].Value)).To(gomega.Equal("old"))
	f.Expect(third.Index).To(gomega.Equal(first.Index))
}

// Guards against a watch that never ends on a connection without answers.
func TestWatchEndsWhenStoreHangs(t *testing.T) {
	f := newFixture(t, shortTimeout, nil)
	f.Expect(f.store.CompareAndSwap(f.ctx, key, nil, 0)).To(gomega.Succeed())
	f.setFaults(consul.Faults{Down: consul.DownHang})
	start := time.Now()
	_, err := f.store.Watch(f.ctx, store.Prefix, 5, shortTimeout)
	f.Expect(errors.Is(err, store.ErrUnavailable)).To(gomega.BeTrue())
	f.Expect(time.Since(start)).To(gomega.BeNumerically("<", 5*time.Second))
}

// Guards against calls that are missing in the metrics or counted under the wrong kind.
func TestCallsAreCounted(t *testing.T) {
	f := newFixture(t, store.DefaultCallTimeout, nil)
	_, _ = f.store.Get(f.ctx, key)
	_, _ = f.store.List(f.ctx, key)
	f.setFaults(consul.Faults{Down: consul.DownError})
	_ = f.store.CompareAndSwap(f.ctx, key, nil, 0)
	vars := strings.ReplaceAll(f.store.Vars().String(), " ", "")
	f.Expect(vars).To(gomega.Equal(`{"calls":{"compare_and_swap":1,"get":1,"list":1},"failed":{"compare_and_swap":1}}`))
	f.Expect(f.server.Calls().Total).To(gomega.HaveLen(3))
}
