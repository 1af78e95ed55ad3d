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

// bodyWithRegion returns a document with a home region; without one if region is empty.
func bodyWithRegion(region string) string {
	if region == "" {
		return minimalBody
	}
	return minimalBody + "home_region: " + region + "\n"
}

// Guards against an edit that changes the home region, directly or after a deletion, and against one that is rejected
// although it keeps the region.
func TestEditorKeepsTheHomeRegion(t *testing.T) {
	for _, first := range []string{"north", ""} {
		f := newFixture(t)
		put := func(expectedRevision uint64, region string) error {
			_, err := f.editor.Put(t.Context(), document.Edit{Service: "bench", ExpectedRevision: expectedRevision, Author: "ada", Body: []byte(bodyWithRegion(region))})
			return err
		}
		f.Expect(put(0, first)).To(gomega.Succeed())
		expectRejected := func(expectedRevision uint64) {
			for _, other := range []string{"north", "south", ""} {
				if other == first {
					continue
				}
				err := put(expectedRevision, other)
				f.Expect(errors.Is(err, document.ErrHomeRegion) && errors.Is(err, document.ErrInvalid)).To(gomega.BeTrue())
				f.Expect(err.Error()).To(gomega.ContainSubstring("home_region"))
			}
		}
		expectRejected(1)
		f.Expect(put(1, first)).To(gomega.Succeed())
		_, err := f.editor.Delete(t.Context(), newEdit(2, ""))
		f.Expect(err).NotTo(gomega.HaveOccurred())
		expectRejected(3)
		f.Expect(put(3, first)).To(gomega.Succeed())
		record, err := f.editor.Get(t.Context(), "bench")
		f.Expect([]any{err, record.Revision}).To(gomega.Equal([]any{nil, uint64(4)}))
	}
}

// Guards against a registry that changes the home region of a service for any sequence of revisions, and against one that
// does not apply the other fields of a revision with another home region.
func TestRegistryKeepsTheHomeRegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registry := document.NewRegistry()
		region, known := "", false
		for revision := range uint64(rapid.IntRange(1, 8).Draw(t, "revisions")) {
			d := document.Document{Service: "bench", Revision: revision + 1, EditID: "x"}
			requested := rapid.SampledFrom([]string{"", "north", "south"}).Draw(t, "region")
			if d.Deleted = rapid.IntRange(0, 3).Draw(t, "deleted") == 0; !d.Deleted {
				d.Body = bodyWithRegion(requested) + "slots: 3\n"
				if !known {
					region, known = requested, true
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
				t.Fatalf("effective: %+v, want region %q", change.Service, region)
			}
			if errors.Is(change.Err, document.ErrHomeRegion) != (requested != region) {
				t.Fatalf("error when region %q follows %q: %v", requested, region, change.Err)
			}
		}
	})
}

// Guards against a process that starts after a forbidden change and uses another region than the running processes, and
// against one that uses a region that was never effective because it was written to a store with older data.
func TestHomeRegionAfterSnapshot(t *testing.T) {
	for name, c := range map[string]struct {
		history []document.PastRevision
		region  string
	}{
		"no history":                 {nil, "south"},
		"changed without the editor": {[]document.PastRevision{{Revision: 8, Body: bodyWithRegion("north")}}, "north"},
		"changed after a deletion":   {[]document.PastRevision{{Revision: 8, Deleted: true}, {Revision: 7, Body: bodyWithRegion("north")}}, "north"},
		"changed two revisions ago":  {[]document.PastRevision{{Revision: 8, Body: bodyWithRegion("south")}, {Revision: 7, Body: bodyWithRegion("north")}}, "north"},
		"gap in the revisions":       {[]document.PastRevision{{Revision: 1, Body: bodyWithRegion("north")}}, "south"},
		"previous body unreadable":   {[]document.PastRevision{{Revision: 8, Body: "home_region: [1]\nx: y\n"}}, "south"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			record := document.Record{Revision: 9, EditID: "x", Body: bodyWithRegion("south"), History: c.history}
			value, err := json.Marshal(record)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			changes, problems := document.NewRegistry().ApplySnapshot([]store.Entry{{Key: document.Key("bench"), Value: value, Version: 1}})
			g.Expect(problems).To(gomega.BeEmpty())
			g.Expect(changes[0].Service.HomeRegion).To(gomega.Equal(c.region))
		})
	}
}
