package document_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/clock"
	"github.com/coltsfootspur/coltsfootspur/internal/document"
	"github.com/coltsfootspur/coltsfootspur/internal/standin/consul"
	"github.com/coltsfootspur/coltsfootspur/internal/store"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

type bench struct {
	*gomega.WithT
	server *consul.Server
	store  *store.Consul
	editor *document.Editor
}

func newBench(t *testing.T) *bench {
	return newBenchWith(t, store.DefaultCallTimeout)
}

func newBenchWith(t *testing.T, timeout time.Duration) *bench {
	g := gomega.NewWithT(t)
	server, err := consul.Start("127.0.0.1:0", consul.Options{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(server.Close)
	store, err := store.NewConsul(store.Options{Address: server.URL(), CallTimeout: timeout})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(store.Close)
	return &bench{g, server, store, document.NewEditor(store, clock.System{})}
}

func edit(expected uint64, comment string) document.Edit {
	return document.Edit{Service: "bench", Expected: expected, Author: "ada", Body: []byte(minimal + "# " + comment)}
}

// Guards against an editor that ignores the expected revision or hides who was first.
func TestEditorConflict(t *testing.T) {
	b := newBench(t)
	_, err := b.editor.Get(t.Context(), "bench")
	b.Expect(errors.Is(err, document.ErrNotFound)).To(gomega.BeTrue())
	first, err := b.editor.Put(t.Context(), edit(0, "first"))
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.Expect(first.Revision).To(gomega.Equal(uint64(1)))
	_, err = b.editor.Put(t.Context(), edit(0, "late"))
	var conflict *document.ConflictError
	b.Expect(errors.As(err, &conflict)).To(gomega.BeTrue())
	b.Expect(errors.Is(err, document.ErrConflict)).To(gomega.BeTrue())
	b.Expect(conflict.Current).To(gomega.Equal(first))

	deleted, err := b.editor.Delete(t.Context(), edit(1, ""))
	b.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = b.editor.Delete(t.Context(), edit(2, ""))
	b.Expect(errors.Is(err, document.ErrNotFound)).To(gomega.BeTrue())
	_, err = b.editor.Put(t.Context(), edit(2, "again"))
	b.Expect(err).NotTo(gomega.HaveOccurred())
	history, err := b.editor.History(t.Context(), "bench")
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.Expect([]any{len(history), history[1].Deleted, history[1].EditID}).To(gomega.Equal([]any{3, true, deleted.EditID}))
	list, corrupt, err := b.editor.List(t.Context())
	b.Expect([]any{err, corrupt == nil, len(list), list[0].Revision}).To(gomega.Equal([]any{nil, true, 1, uint64(3)}))
}

// Guards against an accepted edit that is reported as failed, and one that is given up although it had no effect yet.
func TestEditorFindsOutAboutLostAnswers(t *testing.T) {
	b := newBench(t)
	b.Expect(b.server.SetFaults(consul.Faults{LoseAnswers: 1})).To(gomega.Succeed())
	_, err := b.editor.Put(t.Context(), edit(0, "answer lost"))
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.Expect(b.server.SetFaults(consul.Faults{DropWrites: 2, LoseAnswers: 1})).To(gomega.Succeed())
	_, err = b.editor.Put(t.Context(), edit(1, "dropped twice"))
	b.Expect(err).NotTo(gomega.HaveOccurred())
	record, err := b.editor.Get(t.Context(), "bench")
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.Expect([]any{record.Revision, len(record.History)}).To(gomega.Equal([]any{uint64(2), 1}))
}

// Guards against edits through a store that is down which end without a clear error.
func TestEditorWithoutStore(t *testing.T) {
	for _, down := range []string{consul.DownClose, consul.DownError, consul.DownHang} {
		b := newBenchWith(t, 200*time.Millisecond)
		b.Expect(b.server.SetFaults(consul.Faults{Down: down})).To(gomega.Succeed())
		_, err := b.editor.Put(t.Context(), edit(0, ""))
		b.Expect(errors.Is(err, document.ErrUnreachable)).To(gomega.BeTrue())
		_, _, err = b.editor.List(t.Context())
		b.Expect(errors.Is(err, document.ErrUnreachable)).To(gomega.BeTrue())
	}
}

// Guards against a record that outgrows the store's limit, which would block every further edit.
func TestRecordStaysBelowTheLimit(t *testing.T) {
	b := newBench(t)
	padding := strings.Repeat("\"", wire.MaxDocument-1000) + "\n"
	for revision := range uint64(document.MaxHistory + 3) {
		_, err := b.editor.Put(t.Context(), edit(revision, padding))
		b.Expect(err).NotTo(gomega.HaveOccurred())
	}
	entry, err := b.store.Get(t.Context(), document.Key("bench"))
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.Expect(len(entry.Value)).To(gomega.BeNumerically("<=", store.MaxValue))
	record, err := document.DecodeRecord(entry.Value)
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.Expect(record.History).To(gomega.HaveLen(document.MaxHistory))
	b.Expect(record.History[document.MaxHistory-1].BodyDropped).To(gomega.BeTrue())
}

// Guards against invalid documents, foreign names and missing authors in the store.
func TestEditorChecksTheEdit(t *testing.T) {
	b := newBench(t)
	for _, e := range []document.Edit{
		{Service: "bench", Author: "ada", Body: []byte("service: bench")},
		{Service: "other", Author: "ada", Body: []byte(minimal)},
		{Service: "bench", Body: []byte(minimal)},
		{Service: "../entries", Author: "ada", Body: []byte(minimal)},
	} {
		_, err := b.editor.Put(t.Context(), e)
		b.Expect(errors.Is(err, document.ErrInvalid)).To(gomega.BeTrue())
	}
	b.Expect(b.server.Calls().Total).To(gomega.BeEmpty())
}
