package document_test

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/coltsfootspur/coltsfootspur/internal/document"
	"github.com/coltsfootspur/coltsfootspur/internal/store"
)

func bodyOf(region string) string {
	if region == "" {
		return minimal
	}
	return minimal + "home_region: " + region + "\n"
}

// Guards against an edit that moves the home of keys, also by way of a deletion, and against one that is refused although
// it keeps the region.
func TestEditorKeepsTheHomeRegion(t *testing.T) {
	for _, first := range []string{"north", ""} {
		b := newBench(t)
		put := func(expected uint64, region string) error {
			_, err := b.editor.Put(t.Context(), document.Edit{Service: "bench", Expected: expected, Author: "ada", Body: []byte(bodyOf(region))})
			return err
		}
		b.Expect(put(0, first)).To(gomega.Succeed())
		refused := func(expected uint64) {
			for _, other := range []string{"north", "south", ""} {
				if other == first {
					continue
				}
				err := put(expected, other)
				b.Expect(errors.Is(err, document.ErrHomeRegion) && errors.Is(err, document.ErrInvalid)).To(gomega.BeTrue())
				b.Expect(err.Error()).To(gomega.ContainSubstring("home_region"))
			}
		}
		refused(1)
		b.Expect(put(1, first)).To(gomega.Succeed())
		_, err := b.editor.Delete(t.Context(), edit(2, ""))
		b.Expect(err).NotTo(gomega.HaveOccurred())
		refused(3)
		b.Expect(put(3, first)).To(gomega.Succeed())
		record, err := b.editor.Get(t.Context(), "bench")
		b.Expect([]any{err, record.Revision}).To(gomega.Equal([]any{nil, uint64(4)}))
	}
}

// Guards against a registry that changes the home region of a service, whatever it meets and in whatever order, and
// against a revision that is not applied otherwise.
func TestRegistryKeepsTheHomeRegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registry := document.NewRegistry()
		region, set := "", false
		for revision := range uint64(rapid.IntRange(1, 8).Draw(t, "revisions")) {
			d := document.Document{Service: "bench", Revision: revision + 1, EditID: "x"}
			wanted := rapid.SampledFrom([]string{"", "north", "south"}).Draw(t, "region")
			if d.Deleted = rapid.IntRange(0, 3).Draw(t, "deleted") == 0; !d.Deleted {
				d.Body = bodyOf(wanted) + "slots: 3\n"
				if !set {
					region, set = wanted, true
				}
			}
			change, applied := registry.Apply(d)
			if !applied || (change.Service == nil) != d.Deleted {
				t.Fatalf("revision %d is not applied", d.Revision)
			}
			if d.Deleted {
				continue
			}
			if change.Service.HomeRegion != region || change.Service.Slots != 3 {
				t.Fatalf("in force: %+v, want region %q", change.Service, region)
			}
			if errors.Is(change.Problem, document.ErrHomeRegion) != (wanted != region) {
				t.Fatalf("problem with %q over %q: %v", wanted, region, change.Problem)
			}
		}
	})
}

// Guards against a process that starts after a forbidden change and takes another region than those that run, and against
// one that takes a region that was never in force because it was written to a store with older data.
func TestHomeRegionOfAFreshRegistry(t *testing.T) {
	for name, c := range map[string]struct {
		history []document.Past
		region  string
	}{
		"no history":               {nil, "south"},
		"changed by other means":   {[]document.Past{{Revision: 8, Body: bodyOf("north")}}, "north"},
		"changed after a deletion": {[]document.Past{{Revision: 8, Deleted: true}, {Revision: 7, Body: bodyOf("north")}}, "north"},
		"changed before":           {[]document.Past{{Revision: 8, Body: bodyOf("south")}, {Revision: 7, Body: bodyOf("north")}}, "north"},
		"written to older data":    {[]document.Past{{Revision: 1, Body: bodyOf("north")}}, "south"},
		"former not readable":      {[]document.Past{{Revision: 8, Body: "home_region: [1]\nx: y\n"}}, "south"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			record := document.Record{Revision: 9, EditID: "x", Body: bodyOf("south"), History: c.history}
			value, err := json.Marshal(record)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			changes, problems := document.NewRegistry().ApplySnapshot([]store.Entry{{Key: document.Key("bench"), Value: value, Version: 1}})
			g.Expect(problems).To(gomega.BeEmpty())
			g.Expect(changes[0].Service.HomeRegion).To(gomega.Equal(c.region))
		})
	}
}
