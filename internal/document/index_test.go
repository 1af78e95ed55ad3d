package document_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/coltsfootspur/coltsfootspur/internal/clock"
	"github.com/coltsfootspur/coltsfootspur/internal/document"
	"github.com/coltsfootspur/coltsfootspur/internal/standin/consul"
	"github.com/coltsfootspur/coltsfootspur/internal/store"
)

// index returns the index in the store; an empty one if there is none.
func (f *fixture) index() document.Index {
	entry, err := f.store.Get(context.Background(), document.IndexKey)
	if errors.Is(err, store.ErrNotFound) {
		return document.Index{}
	}
	f.Expect(err).NotTo(gomega.HaveOccurred())
	index, err := document.DecodeIndex(entry.Value)
	f.Expect(err).NotTo(gomega.HaveOccurred())
	return index
}

// indexUnavailableStore is a store in which reads of the index fail.
type indexUnavailableStore struct{ store.Store }

func (s indexUnavailableStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if key == document.IndexKey {
		return store.Entry{}, store.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

// Guards against an edit that is reported as successful although it is missing from the index, so that the entries do not
// notice it, and against one that is reported as failed although its record was written.
func TestEditSucceedsOnlyWithIndex(t *testing.T) {
	f := newFixture(t)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	d, err := document.NewEditor(indexUnavailableStore{f.store}, clock.System{}).Put(ctx, newEdit(0, "first"))
	f.Expect(errors.Is(err, document.ErrNotIndexed)).To(gomega.BeTrue())
	f.Expect(err.Error()).To(gomega.ContainSubstring(d.EditID))
	record, err := f.editor.Get(t.Context(), "bench")
	f.Expect([]any{record.EditID, err}).To(gomega.Equal([]any{d.EditID, nil}))
	f.Expect(f.index()).To(gomega.BeEmpty())

	second, err := f.editor.Put(t.Context(), newEdit(1, "second"))
	f.Expect(err).NotTo(gomega.HaveOccurred())
	f.Expect(f.index()).To(gomega.Equal(document.Index{"bench": second.Position()}))
	deleted, err := f.editor.Delete(t.Context(), newEdit(2, ""))
	f.Expect(err).NotTo(gomega.HaveOccurred())
	f.Expect(f.index()).To(gomega.Equal(document.Index{"bench": deleted.Position()}))
}

// Guards against an index that loses edits when editors of many services change it concurrently, answers are lost or the
// stored value cannot be decoded.
func TestConcurrentEditorsKeepIndexComplete(t *testing.T) {
	const editors = 12
	f := newFixture(t)
	f.Expect(f.store.CompareAndSwap(t.Context(), document.IndexKey, []byte("{"), 0)).To(gomega.Succeed())
	f.Expect(f.server.SetFaults(consul.Faults{LoseAnswers: 3, DropWrites: 3})).To(gomega.Succeed())
	results := make(chan error, editors)
	for n := range editors {
		service := fmt.Sprintf("service-%d", n)
		go func() {
			_, err := f.editor.Put(t.Context(), document.Edit{
				Service: service, Author: "ada", Body: []byte(strings.Replace(minimalBody, "bench", service, 1)),
			})
			results <- err
		}()
	}
	for range editors {
		f.Expect(<-results).NotTo(gomega.HaveOccurred())
	}
	f.Expect(f.index()).To(gomega.HaveLen(editors))
}

// Guards against an index that returns to an older position when that is written late.
func TestIndexNeverMovesBack(t *testing.T) {
	f := newFixture(t)
	advance := func(p document.Position) {
		f.Expect(document.AdvanceIndex(t.Context(), f.store, clock.System{}, document.Index{"bench": p})).To(gomega.Succeed())
	}
	advance(document.Position{Revision: 3, EditID: "b"})
	advance(document.Position{Revision: 2, EditID: "z"})
	advance(document.Position{Revision: 3, EditID: "a"})
	f.Expect(f.index()["bench"]).To(gomega.Equal(document.Position{Revision: 3, EditID: "b"}))
	advance(document.Position{Revision: 3, EditID: "c"})
	f.Expect(f.index()["bench"].EditID).To(gomega.Equal("c"))
}

// Guards against an index that cannot be decoded once a later version has added items, and against corrupt values that are
// accepted.
func TestDecodeIndex(t *testing.T) {
	g := gomega.NewWithT(t)
	index, err := document.DecodeIndex([]byte(`{"bench":[7,"x"],"later":[8,"y",{"more":1}]}`))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(index).To(gomega.Equal(document.Index{"bench": {Revision: 7, EditID: "x"}, "later": {Revision: 8, EditID: "y"}}))
	for _, corrupt := range []string{"", "[]", `{"a":[1]}`, `{"a":["1","x"]}`, `{"a":{}}`, `{"a":[-1,"x"]}`} {
		_, err := document.DecodeIndex([]byte(corrupt))
		g.Expect(errors.Is(err, document.ErrCorrupt)).To(gomega.BeTrue(), corrupt)
	}
}

// Guards against newer records that are not read, and against needed repairs that are not detected.
func TestRegistryComparesWithIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registry, index := document.NewRegistry(), document.Index{}
		for range rapid.IntRange(0, 8).Draw(t, "held") {
			registry.Apply(drawDocument(t))
		}
		for range rapid.IntRange(0, 8).Draw(t, "indexed") {
			d := drawDocument(t)
			index[d.Service] = d.Position()
		}
		ahead := map[string]bool{}
		for _, d := range registry.NewerThanIndex(index) {
			ahead[d.Service] = true
		}
		outdated := map[string]bool{}
		for _, service := range registry.Outdated(index) {
			outdated[service] = true
		}
		for _, service := range []string{"a", "b", "c"} {
			held, _ := registry.Get(service)
			indexed := document.Document{Revision: index[service].Revision, EditID: index[service].EditID}
			if ahead[service] != isNewer(held, indexed) || outdated[service] != isNewer(indexed, held) {
				t.Fatalf("%s: held %+v, indexed %+v", service, held.Position(), indexed.Position())
			}
		}
	})
}
