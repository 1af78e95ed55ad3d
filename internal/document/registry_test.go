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

// drawDocument draws one revision. Two different edits can have the same revision, as after a restore of the store.
func drawDocument(t *rapid.T) document.Document {
	service := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "service")
	d := document.Document{
		Service: service, Revision: uint64(rapid.IntRange(1, 6).Draw(t, "revision")),
		EditID: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "edit"), Author: "ada", At: time.Unix(1_700_000_000, 0).UTC(),
		Deleted: rapid.IntRange(0, 4).Draw(t, "deleted") == 0,
	}
	if !d.Deleted {
		d.Body = fmt.Sprintf("service: %s\nteam: t\nkinds: [{name: k}]\n# %d %s", service, d.Revision, d.EditID)
	}
	return d
}

func entryOf(t *rapid.T, d document.Document, version uint64) store.Entry {
	record := document.Record{Revision: d.Revision, EditID: d.EditID, Author: d.Author, At: d.At, Deleted: d.Deleted, Body: d.Body}
	value, err := json.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	return store.Entry{Key: document.Key(d.Service), Value: value, Version: version}
}

// newer is the order that the registry promises.
func newer(a, b document.Document) bool {
	return a.Revision > b.Revision || a.Revision == b.Revision && a.EditID > b.EditID
}

// Guards against a registry that goes back, keeps the wrong revision or has a digest that depends on the order.
func TestRegistryNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registry := document.NewRegistry()
		model := map[string]document.Document{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			d := drawDocument(t)
			applied := apply(t, registry, d)
			held, known := model[d.Service]
			if want := !known || newer(d, held); applied != want {
				t.Fatalf("%s %d/%s over %d/%s: applied %v", d.Service, d.Revision, d.EditID, held.Revision, held.EditID, applied)
			} else if want {
				model[d.Service] = d
			}
			checkRegistry(t, registry, model)
		}
	})
}

// apply passes a document by push or by a store read.
func apply(t *rapid.T, registry *document.Registry, d document.Document) bool {
	if rapid.Bool().Draw(t, "from the store") {
		changes, problems := registry.ApplySnapshot([]store.Entry{
			{Key: "coltsfootspur/entries", Value: []byte("{}")}, entryOf(t, d, 1),
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
		if _, inForce := registry.InForce(service); inForce == want.Deleted {
			t.Fatalf("%s: in force %v", service, inForce)
		}
		fresh.Apply(want)
	}
	if fresh.Digest() != registry.Digest() || registry.DigestOf(func(string) bool { return true }) != registry.Digest() {
		t.Fatal("digest depends on the order")
	}
}

// Guards against documents that stay missing at a peer, and against digests that are equal for different documents.
func TestRegistriesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := document.NewRegistry(), document.NewRegistry()
		for range rapid.IntRange(0, 12).Draw(t, "documents") {
			d := drawDocument(t)
			d.EditID = "x"
			rapid.SampledFrom([]*document.Registry{a, b}).Draw(t, "registry").Apply(d)
		}
		same := gomega.NewWithT(t).Expect
		same(a.Digest() == b.Digest()).To(gomega.Equal(fmt.Sprint(a.Revisions()) == fmt.Sprint(b.Revisions())))
		for _, push := range a.MissingPushes(&wire.DocumentPull{Revisions: b.Revisions()}, nil) {
			_, applied, err := b.ApplyPush(push)
			same(applied && err == nil).To(gomega.BeTrue())
		}
		for _, d := range b.Missing(a.Revisions(), nil) {
			a.Apply(d)
		}
		same(a.Revisions()).To(gomega.Equal(b.Revisions()))
		same(a.Digest()).To(gomega.Equal(b.Digest()))
		same(a.Missing(b.Revisions(), nil)).To(gomega.BeEmpty())
	})
}

// Guards against older data in the store that stays there, and against repairs that overwrite newer data or history.
func TestRepairs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registry := document.NewRegistry()
		for range rapid.IntRange(1, 8).Draw(t, "held") {
			registry.Apply(drawDocument(t))
		}
		kept := map[string]store.Entry{}
		for range rapid.IntRange(0, 5).Draw(t, "stored") {
			e := entryOf(t, drawDocument(t), uint64(rapid.IntRange(1, 9).Draw(t, "version")))
			kept[e.Key] = e
		}
		registry.ApplySnapshot(entries(kept))
		repairs, err := registry.Repairs(entries(kept))
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range repairs {
			if kept[r.Key].Version != r.Version {
				t.Fatalf("repair of %s expects version %d", r.Service, r.Version)
			}
			kept[r.Key] = store.Entry{Key: r.Key, Value: r.Value, Version: r.Version + 1}
		}
		if again, _ := registry.Repairs(entries(kept)); len(again) > 0 {
			t.Fatal("repairs do not settle")
		}
		reader := document.NewRegistry()
		reader.ApplySnapshot(entries(kept))
		if reader.Digest() != registry.Digest() {
			t.Fatal("store and registry differ after the repairs")
		}
	})
}

func entries(kept map[string]store.Entry) []store.Entry {
	var all []store.Entry
	for _, e := range kept {
		all = append(all, e)
	}
	return all
}

// Guards against an invalid newer revision that takes a service out of service, and against corrupt values.
func TestInvalidRevisionKeepsTheFormerInForce(t *testing.T) {
	g := gomega.NewWithT(t)
	registry := document.NewRegistry()
	registry.Apply(document.Document{Service: "bench", Revision: 1, EditID: "a", Body: minimal})
	change, applied := registry.Apply(document.Document{Service: "bench", Revision: 2, EditID: "b", Body: minimal + "future: 1\n"})
	g.Expect(applied).To(gomega.BeTrue())
	g.Expect(errors.Is(change.Problem, document.ErrInvalid)).To(gomega.BeTrue())
	inForce, ok := registry.InForce("bench")
	g.Expect([]any{ok, inForce.Team, registry.Revisions()["bench"]}).To(gomega.Equal([]any{true, "wax", uint64(2)}))

	corrupt := []store.Entry{{Key: document.Key("bench"), Value: []byte("{"), Version: 9}}
	changes, problems := registry.ApplySnapshot(corrupt)
	g.Expect([]int{len(changes), len(problems)}).To(gomega.Equal([]int{0, 1}))
	g.Expect(errors.Is(problems[0], document.ErrCorrupt)).To(gomega.BeTrue())
	repairs, err := registry.Repairs(corrupt)
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
