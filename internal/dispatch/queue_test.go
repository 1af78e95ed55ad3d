package dispatch

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// TestBacklogMatchesSum guards against a wrong sum where the ring of buckets wraps, which happens about every two
// minutes and would make admission accept or refuse jobs at random.
func TestBacklogMatchesSum(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := instant(rapid.Int64Range(int64(time.Minute), int64(time.Hour)).Draw(rt, "now"))
		var b backlog
		var keys []instant
		for range rapid.IntRange(1, 50).Draw(rt, "tasks") {
			key := now + instant(rapid.Int64Range(int64(-time.Minute), int64(time.Minute)).Draw(rt, "key"))
			b.add(key, 1)
			keys = append(keys, key)
		}
		for range rapid.IntRange(0, len(keys)).Draw(rt, "left") {
			b.add(keys[0], -1)
			keys = keys[1:]
		}
		limit := now + instant(rapid.Int64Range(int64(-time.Minute), int64(time.Minute)).Draw(rt, "limit"))
		want := instant(0)
		for _, key := range keys {
			if key/bucketSpan <= limit/bucketSpan {
				want++
			}
		}
		if got := b.workBefore(now, limit); got != want {
			rt.Fatalf("before %v: %d, want %d", limit, got, want)
		}
	})
}

// TestQueueOrder guards against tasks that are lost, served twice or served out of order when others are removed.
func TestQueueOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var q taskQueue
		left := map[uint64]*task{}
		for i := range uint64(rapid.IntRange(1, 300).Draw(rt, "tasks")) {
			tk := &task{queueSeq: i + 1}
			left[i+1] = tk
			q.push(queueItem{instant(rapid.IntRange(0, 20).Draw(rt, "key")), i + 1, tk})
			if rapid.IntRange(0, 2).Draw(rt, "remove") == 0 {
				tk.queueSeq = 0
				delete(left, i+1)
				q.markStale()
			}
		}
		last := queueItem{key: -1}
		for tk := q.head(); tk != nil; tk = q.head() {
			item := q.items[0]
			if left[tk.queueSeq] != tk || item.key < last.key || item.key == last.key && item.seq < last.seq {
				rt.Fatalf("item %+v after %+v", item, last)
			}
			delete(left, tk.queueSeq)
			last = item
			q.pop()
		}
		if len(left) > 0 {
			rt.Fatalf("%d tasks were lost", len(left))
		}
	})
}

// TestAgeing guards against long work that is overtaken by short work without bound.
func TestAgeing(t *testing.T) {
	h := newHarness(t, Config{AgentQueue: -1}, up("u", 1))
	h.train(up("u", 1), "short", 100*time.Millisecond, Succeeded, 10)
	h.train(up("u", 1), "long", 2*time.Second, Succeeded, 10)
	h.submit(Job{Kind: "short"})
	running := h.nextOne()
	h.submit(Job{Kind: "long", Deadline: h.now.Add(time.Minute)})
	long, begin := h.lastJobID, h.now
	for running.Ref.Job != long {
		h.submit(Job{Kind: "short", Deadline: h.now.Add(time.Minute)})
		h.advance(100 * time.Millisecond)
		h.succeed(running, 100*time.Millisecond)
		running = h.nextOne()
		h.Expect(h.now).To(gomega.BeTemporally("<=", begin.Add(time.Duration(maxHorizon)+time.Second)))
	}
}
