package document_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/coltsfootspur/coltsfootspur/internal/document"
	"github.com/coltsfootspur/coltsfootspur/internal/store"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// drawDocument draws one revision. Two different edits can have the same revision, as after the store was restored from
// older data.
func drawDocument(t *rapid.T) document.Document {
	service := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "service")
	d := document.Document{
		Service: service, Revision: uint64(rapid.IntRange(1, 6).Draw(t, "revision")),
		EditID: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "edit"), Author: "ada", EditedAt: time.Unix(1_700_000_000, 0).UTC(),
		Deleted: rapid.IntRange(0, 4).Draw(t, "deleted") == 0,
	}
	if !d.Deleted {
		d.Body = fmt.Sprintf("service: %s\nteam: t\nkinds: [{name: k}]\n# %d %s", service, d.Revision, d.EditID)
	}
	return d
}

func storedEntry(t *rapid.T, d document.Document, version uint64) store.Entry {
	record := document.Record{Revision: d.Revision, EditID: d.EditID, Author: d.Author, EditedAt: d.EditedAt, Deleted: d.Deleted, Body: d.Body}
	value, err := json.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	return store.Entry{Key: document.Key(d.Service), Value: value, Version: version}
}

// isNewer is the specified order of revisions, written independently of the package.
func isNewer(a, b document.Document) bool {
	return a.Revision > b.Revision || a.Revision == b.Revision && a.EditID > b.EditID
}

// Guards against a registry that returns to an older revision, keeps the wrong one of two edits with the same revision, or
// has a digest that depends on the order of the revisions.
func TestRegistryKeepsNewestRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registry := document.NewRegistry()
		model := map[string]document.Document{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			d := drawDocument(t)
			applied := applyRandomly(t, registry, d)
			held, known := model[d.Service]
			if want := !known || isNewer(d, held); applied != want {
				t.Fatalf("%s %d/%s over %d/%s: applied %v", d.Service, d.Revision, d.EditID, held.Revision, held.EditID, applied)
			} else if want {
				model[d.Service] = d
			}
			checkRegistry(t, registry, model)
		}
	})
}

// applyRandomly applies a document either as a push or as a store read, and reports whether it was applied.
func applyRandomly(t *rapid.T, registry *document.Registry, d document.Document) bool {
	if rapid.Bool().Draw(t, "from the store") {
		changes, problems := registry.ApplySnapshot([]store.Entry{
			{Key: "coltsfootspur/entries", Value: []byte("{}")}, storedEntry(t, d, 1),
		})
		if len(problems) > 0 {
			t.Fatal(problems)
		}
		return len(changes) == 1
	}
	_, applied, err := registry.ApplyPush(document.ToPush(d))
	if err != nil {
		t.Fatal(err)
	}
	return applied
}

func checkRegistry(t *rapid.T, registry *document.Registry, model map[string]document.Document) {
	fresh := document.NewRegistry()
	for service, want := range model {
		got, ok := registry.Get(service)
		if !ok || got != want {
			t.Fatalf("%s: got %+v, want %+v", service, got, want)
		}
		if _, effective := registry.Effective(service); effective == want.Deleted {
			t.Fatalf("%s: effective %v", service, effective)
		}
		fresh.Apply(want)
	}
	if fresh.Digest() != registry.Digest() || registry.DigestOf(func(string) bool { return true }) != registry.Digest() {
		t.Fatal("digest depends on the order")
	}
}

// Guards against documents that stay missing at a peer, and against equal digests for different documents.
func TestRegistriesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := document.NewRegistry(), document.NewRegistry()
		for range rapid.IntRange(0, 12).Draw(t, "documents") {
			d := drawDocument(t)
			d.EditID = "x"
			rapid.SampledFrom([]*document.Registry{a, b}).Draw(t, "registry").Apply(d)
		}
		expect := gomega.NewWithT(t).Expect
		expect(a.Digest() == b.Digest()).To(gomega.Equal(fmt.Sprint(a.Revisions()) == fmt.Sprint(b.Revisions())))
		for _, push := range a.MissingPushes(&wire.DocumentPull{Revisions: b.Revisions()}, nil) {
			_, applied, err := b.ApplyPush(push)
			expect(applied && err == nil).To(gomega.BeTrue())
		}
		for _, d := range b.NewerThan(a.Revisions(), nil) {
			a.Apply(d)
		}
		expect(a.Revisions()).To(gomega.Equal(b.Revisions()))
		expect(a.Digest()).To(gomega.Equal(b.Digest()))
		expect(a.NewerThan(b.Revisions(), nil)).To(gomega.BeEmpty())
	})
}

// Guards against older data that stays in the store, and against repairs that overwrite newer data or do not converge.
func TestRepairs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registry := document.NewRegistry()
		for range rapid.IntRange(1, 8).Draw(t, "held") {
			registry.Apply(drawDocument(t))
		}
		stored := map[string]store.Entry{}
		for range rapid.IntRange(0, 5).Draw(t, "stored") {
			e := storedEntry(t, drawDocument(t), uint64(rapid.IntRange(1, 9).Draw(t, "version")))
			stored[e.Key] = e
		}
		registry.ApplySnapshot(listEntries(stored))
		repairs, err := registry.ComputeRepairs(listEntries(stored))
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range repairs {
			if stored[r.Key].Version != r.Version {
				t.Fatalf("repair of %s expects version %d", r.Service, r.Version)
			}
			stored[r.Key] = store.Entry{Key: r.Key, Value: r.Value, Version: r.Version + 1}
		}
		if remaining, _ := registry.ComputeRepairs(listEntries(stored)); len(remaining) > 0 {
			t.Fatal("repairs do not converge")
		}
		reader := document.NewRegistry()
		reader.ApplySnapshot(listEntries(stored))
		if reader.Digest() != registry.Digest() {
			t.Fatal("store and registry differ after the repairs")
		}
	})
}

func listEntries(stored map[string]store.Entry) []store.Entry {
	var all []store.Entry
	for _, e := range stored {
		all = append(all, e)
	}
	return all
}

// Guards against an invalid newer revision that replaces the effective one, and against corrupt values and messages that are
// accepted or overwritten.
func TestInvalidRevisionKeepsPreviousEffective(t *testing.T) {
	g := gomega.NewWithT(t)
	registry := document.NewRegistry()
	registry.Apply(document.Document{Service: "bench", Revision: 1, EditID: "a", Body: minimalBody})
	change, applied := registry.Apply(document.Document{Service: "bench", Revision: 2, EditID: "b", Body: minimalBody + "future: 1\n"})
	g.Expect(applied).To(gomega.BeTrue())
	g.Expect(errors.Is(change.Err, document.ErrInvalid)).To(gomega.BeTrue())
	effective, ok := registry.Effective("bench")
	g.Expect([]any{ok, effective.Team, registry.Revisions()["bench"]}).To(gomega.Equal([]any{true, "wax", uint64(2)}))

	corrupt := []store.Entry{{Key: document.Key("bench"), Value: []byte("{"), Version: 9}}
	changes, problems := registry.ApplySnapshot(corrupt)
	g.Expect([]int{len(changes), len(problems)}).To(gomega.Equal([]int{0, 1}))
	g.Expect(errors.Is(problems[0], document.ErrCorrupt)).To(gomega.BeTrue())
	repairs, err := registry.ComputeRepairs(corrupt)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(repairs).To(gomega.BeEmpty())
	for _, p := range []wire.DocumentPush{
		{Service: "a/b", Revision: 1, EditID: "x", Body: []byte("x")},
		{Service: "a", EditID: "x", Body: []byte("x")},
		{Service: "a", Revision: 1, EditID: "x"},
		{Service: "a", Revision: 1, EditID: "x", Deleted: true, Body: []byte("x")},
		{Service: "a", Revision: 1, EditID: "x", Body: make([]byte, wire.MaxDocument+1)},
	} {
		_, _, err := registry.ApplyPush(&p)
		g.Expect(errors.Is(err, document.ErrCorrupt)).To(gomega.BeTrue())
	}
}
