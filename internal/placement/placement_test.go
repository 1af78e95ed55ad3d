package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

var epoch = time.Unix(1_700_000_000, 0)

func member(id string, incarnation uint64) wire.Member {
	return wire.Member{ID: id, Incarnation: incarnation, Address: id + ":1", Region: "r1"}
}

func listOf(n int) *wire.EntryList {
	l := &wire.EntryList{Version: 1}
	for i := range n {
		m := member(fmt.Sprintf("entry-%d", i), uint64(i+1))
		m.State = wire.MemberActive
		m.Region = fmt.Sprintf("r%d", i%3)
		l.Members = append(l.Members, m)
	}
	return l
}

// Guards against a change that breaks the format, reuses memory of the previous list or does not raise the version.
func TestChangesKeepTheListValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		list, err := placement.Add(nil, member("a", 1), epoch)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for i := range rapid.IntRange(1, 20).Draw(t, "steps") {
			before := fmt.Sprintf("%+v", list)
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			incarnation := rapid.Uint64Range(1, uint64(i+3)).Draw(t, "incarnation")
			now := epoch.Add(time.Duration(i) * time.Second)
			var next *wire.EntryList
			switch rapid.IntRange(0, 4).Draw(t, "operation") {
			case 0:
				next, err = placement.Add(list, member(id, incarnation), now)
			case 1:
				next, err = placement.MarkLeaving(list, id, incarnation)
			case 2:
				next, err = placement.RemoveClean(list, id, incarnation, now)
			case 3:
				next, err = placement.Expel(list, id, incarnation, now)
			case 4:
				next, err = placement.Prune(list, now, 5*time.Second)
			}
			g.Expect(fmt.Sprintf("%+v", list)).To(gomega.Equal(before))
			if err != nil {
				continue
			}
			g.Expect(next.Version).To(gomega.Equal(list.Version + 1))
			g.Expect(placement.Validate(next)).To(gomega.Succeed())
			list = next
		}
	})
}

// Guards against a restarted entry whose previous incarnation stays a member, or departs without recovery of its keys.
func TestAddReplacesPreviousIncarnation(t *testing.T) {
	g := gomega.NewWithT(t)
	list, err := placement.Add(listOf(2), member("entry-0", 77), epoch)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(list.Members).To(gomega.HaveLen(2))
	g.Expect(list.Departed).To(gomega.ConsistOf(wire.Departed{ID: "entry-0", Incarnation: 1, AtVersion: 2, At: epoch}))
	_, err = placement.Add(list, member("entry-9", 1), epoch)
	g.Expect(err).To(gomega.MatchError(placement.ErrIncarnationUsed))
	_, err = placement.RemoveClean(list, "entry-0", 77, epoch)
	g.Expect(err).To(gomega.MatchError(placement.ErrNotLeaving))
}

// Guards against a process that reverts to an older list.
func TestPickNewerNeverReturnsAnOlderList(t *testing.T) {
	g := gomega.NewWithT(t)
	current := &wire.EntryList{Version: 5}
	for _, candidate := range []*wire.EntryList{nil, {Version: 4}, {Version: 5}} {
		list, adopted := placement.PickNewer(current, candidate)
		g.Expect(adopted).To(gomega.BeFalse())
		g.Expect(list).To(gomega.BeIdenticalTo(current))
	}
}

// Guards against a hash that moves more keys than necessary when the list changes, or that selects a member outside the
// home region.
func TestHomeMovesOnlyKeysOfTheChangedMember(t *testing.T) {
	g := gomega.NewWithT(t)
	before := listOf(9)
	after, err := placement.MarkLeaving(before, "entry-4", 5)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	const keys = 9000
	count := map[string]int{}
	for i := range keys {
		key := placement.HashKey("s", fmt.Sprint(i))
		h1, _ := placement.Home(before, "", key)
		h2, _ := placement.Home(after, "", key)
		count[h1.ID]++
		if h1.ID != "entry-4" {
			g.Expect(h2).To(gomega.Equal(h1))
		}
		r, ok := placement.Home(after, "r1", key)
		g.Expect(ok).To(gomega.BeTrue())
		g.Expect(r.Region).To(gomega.Equal("r1"))
		g.Expect(placement.MayBeHome(after, r, key)).To(gomega.BeTrue())
	}
	for id, n := range count {
		g.Expect(n).To(gomega.BeNumerically("~", keys/9, keys/9/5), id)
	}
	_, ok := placement.Home(after, "elsewhere", wire.KeyHash{})
	g.Expect(ok).To(gomega.BeFalse())
}

// Guards against accepting anything but a canonical UUIDv7 as a key with a time, and against a wrong time.
func TestKeyTime(t *testing.T) {
	g := gomega.NewWithT(t)
	id := uuid.Must(uuid.NewV7())
	at, ok := placement.KeyTime(id.String())
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(at).To(gomega.BeTemporally("~", time.Now(), time.Minute))
	at, _ = placement.KeyTime("017f22e2-79b0-7cc3-98c4-dc0c0c07398f") // example of RFC 9562, appendix A.6
	g.Expect(at.UnixMilli()).To(gomega.Equal(int64(0x017F22E279B0)))
	for _, key := range []string{"", "order-17", uuid.NewString(), "{" + id.String() + "}", "017f22e2-79b0-7cc3-18c4-dc0c0c07398f"} {
		_, ok := placement.KeyTime(key)
		g.Expect(ok).To(gomega.BeFalse(), key)
	}
}

// Guards against two different jobs with the same digest, and against a digest that depends on the case of header names.
func TestDigest(t *testing.T) {
	g := gomega.NewWithT(t)
	job := func(path, name, value, body string) *wire.Job {
		return &wire.Job{Kind: "k", Tasks: []wire.TaskSpec{{Path: path, Headers: []wire.Header{{Name: name, Value: value}}, Body: []byte(body)}}}
	}
	base := placement.Digest(job("p", "n", "v", "b"))
	g.Expect(placement.Digest(job("p", "N", "v", "b"))).To(gomega.Equal(base))
	for _, other := range []*wire.Job{job("pn", "", "v", "b"), job("p", "nv", "", "b"), job("p", "n", "vb", ""), job("p", "n", "v", "c"), {Kind: "k"}} {
		g.Expect(placement.Digest(other)).NotTo(gomega.Equal(base))
	}
	g.Expect(placement.HashKey("ab", "c")).NotTo(gomega.Equal(placement.HashKey("a", "bc")))
}

func BenchmarkHome(b *testing.B) {
	list := listOf(20)
	key := placement.HashKey("s", "k")
	for b.Loop() {
		placement.Home(list, "", key)
	}
}

// Guards against a stop notice that is lost with a newer list, outlives its member or is made for another incarnation.
// Also guards against a departure with too high a version: a later expulsion of the entry that received the table would
// then seem to precede it.
func TestStoppedMembers(t *testing.T) {
	g := gomega.NewWithT(t)
	list := listOf(3)
	stopping, err := placement.AnnounceStop(list, "entry-0", 1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = placement.AnnounceStop(list, "entry-0", 9)
	g.Expect(err).To(gomega.MatchError(placement.ErrNotMember))
	g.Expect(placement.ApplyStopNotices(stopping).Members[0].State).To(gomega.Equal(wire.MemberLeaving))
	done, err := placement.AnnounceStopDone(stopping, "entry-0", 1, epoch)
	g.Expect(err).NotTo(gomega.HaveOccurred())

	expelled, err := placement.Expel(list, "entry-1", 2, epoch)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	merged, changed := placement.Merge(done, expelled)
	g.Expect(changed).To(gomega.BeTrue())
	g.Expect(merged.Version).To(gomega.Equal(expelled.Version))
	g.Expect(merged.Stopped).To(gomega.Equal(done.Stopped))
	_, changed = placement.Merge(merged, stopping)
	g.Expect(changed).To(gomega.BeFalse(), "an older stop notice is ignored")

	_, err = placement.RemoveStopped(expelled, stopping.Stopped[0])
	g.Expect(err).To(gomega.MatchError(placement.ErrNotStopped))
	removed, err := placement.RemoveStopped(expelled, done.Stopped[0])
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(placement.Validate(removed)).To(gomega.Succeed())
	g.Expect(removed.Departed[1].Clean).To(gomega.BeTrue())
	g.Expect(removed.Departed[1].AtVersion).To(gomega.Equal(removed.Departed[0].AtVersion))
	merged, _ = placement.Merge(merged, removed)
	g.Expect(merged.Stopped).To(gomega.BeEmpty())
}
