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

// index returns the index in the store; empty without one.
func (b *bench) index() document.Index {
	entry, err := b.store.Get(context.Background(), document.IndexKey)
	if errors.Is(err, store.ErrNotFound) {
		return document.Index{}
	}
	b.Expect(err).NotTo(gomega.HaveOccurred())
	index, err := document.DecodeIndex(entry.Value)
	b.Expect(err).NotTo(gomega.HaveOccurred())
	return index
}

// recordOnly is a store that loses sight of the index.
type recordOnly struct{ store.Store }

func (s recordOnly) Get(ctx context.Context, key string) (store.Entry, error) {
	if key == document.IndexKey {
		return store.Entry{}, store.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

// Guards against an edit that is reported as done although the entries do not learn of it, and against one that is
// reported as failed although its record was written.
func TestEditIsNotDoneBeforeTheIndex(t *testing.T) {
	b := newBench(t)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	d, err := document.NewEditor(recordOnly{b.store}, clock.System{}).Put(ctx, edit(0, "first"))
	b.Expect(errors.Is(err, document.ErrNotIndexed)).To(gomega.BeTrue())
	b.Expect(err.Error()).To(gomega.ContainSubstring(d.EditID))
	record, err := b.editor.Get(t.Context(), "bench")
	b.Expect([]any{record.EditID, err}).To(gomega.Equal([]any{d.EditID, nil}))
	b.Expect(b.index()).To(gomega.BeEmpty())

	second, err := b.editor.Put(t.Context(), edit(1, "second"))
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.Expect(b.index()).To(gomega.Equal(document.Index{"bench": second.Position()}))
	deleted, err := b.editor.Delete(t.Context(), edit(2, ""))
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.Expect(b.index()).To(gomega.Equal(document.Index{"bench": deleted.Position()}))
}

// Guards against an index that loses the edits of others, by editors of many services at the same time, lost answers or
// a value that cannot be decoded.
func TestEditorsShareTheIndex(t *testing.T) {
	const editors = 12
	b := newBench(t)
	b.Expect(b.store.CompareAndSwap(t.Context(), document.IndexKey, []byte("{"), 0)).To(gomega.Succeed())
	b.Expect(b.server.SetFaults(consul.Faults{LoseAnswers: 3, DropWrites: 3})).To(gomega.Succeed())
	results := make(chan error, editors)
	for n := range editors {
		service := fmt.Sprintf("service-%d", n)
		go func() {
			_, err := b.editor.Put(t.Context(), document.Edit{
				Service: service, Author: "ada", Body: []byte(strings.Replace(minimal, "bench", service, 1)),
			})
			results <- err
		}()
	}
	for range editors {
		b.Expect(<-results).NotTo(gomega.HaveOccurred())
	}
	b.Expect(b.index()).To(gomega.HaveLen(editors))
}

// Guards against an index that goes back when an older position is written late.
func TestRaiseIndexLowersNothing(t *testing.T) {
	b := newBench(t)
	raise := func(p document.Position) {
		b.Expect(document.RaiseIndex(t.Context(), b.store, clock.System{}, document.Index{"bench": p})).To(gomega.Succeed())
	}
	raise(document.Position{Revision: 3, EditID: "b"})
	raise(document.Position{Revision: 2, EditID: "z"})
	raise(document.Position{Revision: 3, EditID: "a"})
	b.Expect(b.index()["bench"]).To(gomega.Equal(document.Position{Revision: 3, EditID: "b"}))
	raise(document.Position{Revision: 3, EditID: "c"})
	b.Expect(b.index()["bench"].EditID).To(gomega.Equal("c"))
}

// Guards against an index whose stored form cannot be read back, and against values that stop a reader.
func TestIndexForm(t *testing.T) {
	g := gomega.NewWithT(t)
	index, err := document.DecodeIndex([]byte(`{"bench":[7,"x"],"later":[8,"y",{"more":1}]}`))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(index).To(gomega.Equal(document.Index{"bench": {Revision: 7, EditID: "x"}, "later": {Revision: 8, EditID: "y"}}))
	for _, corrupt := range []string{"", "[]", `{"a":[1]}`, `{"a":["1","x"]}`, `{"a":{}}`, `{"a":[-1,"x"]}`} {
		_, err := document.DecodeIndex([]byte(corrupt))
		g.Expect(errors.Is(err, document.ErrCorrupt)).To(gomega.BeTrue(), corrupt)
	}
}

// Guards against records that are not read although they are newer, and against repairs that are not seen as needed.
func TestRegistryComparesWithTheIndex(t *testing.T) {
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
		for _, d := range registry.Ahead(index) {
			ahead[d.Service] = true
		}
		outdated := map[string]bool{}
		for _, service := range registry.Outdated(index) {
			outdated[service] = true
		}
		for _, service := range []string{"a", "b", "c"} {
			held, _ := registry.Get(service)
			shown := document.Document{Revision: index[service].Revision, EditID: index[service].EditID}
			if ahead[service] != newer(held, shown) || outdated[service] != newer(shown, held) {
				t.Fatalf("%s: held %+v, shown %+v", service, held.Position(), shown.Position())
			}
		}
	})
}
