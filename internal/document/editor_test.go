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

// fixture is an editor with a local Consul server as its store.
type fixture struct {
	*gomega.WithT
	server *consul.Server
	store  *store.Consul
	editor *document.Editor
}

func newFixture(t *testing.T) *fixture {
	return newFixtureWithTimeout(t, store.DefaultCallTimeout)
}

func newFixtureWithTimeout(t *testing.T, timeout time.Duration) *fixture {
	g := gomega.NewWithT(t)
	server, err := consul.Start("127.0.0.1:0", consul.Options{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(server.Close)
	store, err := store.NewConsul(store.Options{Address: server.URL(), CallTimeout: timeout})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(store.Close)
	return &fixture{g, server, store, document.NewEditor(store, clock.System{})}
}

// newEdit returns an edit whose body ends with the comment, so that bodies differ.
func newEdit(expectedRevision uint64, comment string) document.Edit {
	return document.Edit{Service: "bench", ExpectedRevision: expectedRevision, Author: "ada", Body: []byte(minimalBody + "# " + comment)}
}

// Guards against an editor that ignores the expected revision or does not report the edit that came first.
func TestEditorConflict(t *testing.T) {
	f := newFixture(t)
	_, err := f.editor.Get(t.Context(), "bench")
	f.Expect(errors.Is(err, document.ErrNotFound)).To(gomega.BeTrue())
	first, err := f.editor.Put(t.Context(), newEdit(0, "first"))
	f.Expect(err).NotTo(gomega.HaveOccurred())
	f.Expect(first.Revision).To(gomega.Equal(uint64(1)))
	_, err = f.editor.Put(t.Context(), newEdit(0, "late"))
	var conflict *document.ConflictError
	f.Expect(errors.As(err, &conflict)).To(gomega.BeTrue())
	f.Expect(errors.Is(err, document.ErrConflict)).To(gomega.BeTrue())
	f.Expect(conflict.Current).To(gomega.Equal(first))

	deleted, err := f.editor.Delete(t.Context(), newEdit(1, ""))
	f.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = f.editor.Delete(t.Context(), newEdit(2, ""))
	f.Expect(errors.Is(err, document.ErrNotFound)).To(gomega.BeTrue())
	_, err = f.editor.Put(t.Context(), newEdit(2, "again"))
	f.Expect(err).NotTo(gomega.HaveOccurred())
	history, err := f.editor.History(t.Context(), "bench")
	f.Expect(err).NotTo(gomega.HaveOccurred())
	f.Expect([]any{len(history), history[1].Deleted, history[1].EditID}).To(gomega.Equal([]any{3, true, deleted.EditID}))
	list, corrupt, err := f.editor.List(t.Context())
	f.Expect([]any{err, corrupt == nil, len(list), list[0].Revision}).To(gomega.Equal([]any{nil, true, 1, uint64(3)}))
}

// Guards against an accepted edit that is reported as failed because its answer was lost, and against an editor that gives
// up when the store dropped the write.
func TestEditorResolvesLostAnswers(t *testing.T) {
	f := newFixture(t)
	f.Expect(f.server.SetFaults(consul.Faults{LoseAnswers: 1})).To(gomega.Succeed())
	_, err := f.editor.Put(t.Context(), newEdit(0, "answer lost"))
	f.Expect(err).NotTo(gomega.HaveOccurred())
	f.Expect(f.server.SetFaults(consul.Faults{DropWrites: 2, LoseAnswers: 1})).To(gomega.Succeed())
	_, err = f.editor.Put(t.Context(), newEdit(1, "dropped twice"))
	f.Expect(err).NotTo(gomega.HaveOccurred())
	record, err := f.editor.Get(t.Context(), "bench")
	f.Expect(err).NotTo(gomega.HaveOccurred())
	f.Expect([]any{record.Revision, len(record.History)}).To(gomega.Equal([]any{uint64(2), 1}))
}

// Guards against calls that do not return ErrUnreachable while the store is down.
func TestEditorWithoutStore(t *testing.T) {
	for _, down := range []string{consul.DownClose, consul.DownError, consul.DownHang} {
		f := newFixtureWithTimeout(t, 200*time.Millisecond)
		f.Expect(f.server.SetFaults(consul.Faults{Down: down})).To(gomega.Succeed())
		_, err := f.editor.Put(t.Context(), newEdit(0, ""))
		f.Expect(errors.Is(err, document.ErrUnreachable)).To(gomega.BeTrue())
		_, _, err = f.editor.List(t.Context())
		f.Expect(errors.Is(err, document.ErrUnreachable)).To(gomega.BeTrue())
	}
}

// Guards against a record that exceeds the size limit of the store, which would block every further edit.
func TestRecordStaysBelowSizeLimit(t *testing.T) {
	f := newFixture(t)
	padding := strings.Repeat("\"", wire.MaxDocument-1000) + "\n"
	for revision := range uint64(document.MaxHistory + 3) {
		_, err := f.editor.Put(t.Context(), newEdit(revision, padding))
		f.Expect(err).NotTo(gomega.HaveOccurred())
	}
	entry, err := f.store.Get(t.Context(), document.Key("bench"))
	f.Expect(err).NotTo(gomega.HaveOccurred())
	f.Expect(len(entry.Value)).To(gomega.BeNumerically("<=", store.MaxValue))
	record, err := document.DecodeRecord(entry.Value)
	f.Expect(err).NotTo(gomega.HaveOccurred())
	f.Expect(record.History).To(gomega.HaveLen(document.MaxHistory))
	f.Expect(record.History[document.MaxHistory-1].BodyDropped).To(gomega.BeTrue())
}

// Guards against edits with an invalid body, the name of another service, no author or an invalid service name that reach
// the store.
func TestEditorRejectsInvalidEdits(t *testing.T) {
	f := newFixture(t)
	for _, e := range []document.Edit{
		{Service: "bench", Author: "ada", Body: []byte("service: bench")},
		{Service: "other", Author: "ada", Body: []byte(minimalBody)},
		{Service: "bench", Body: []byte(minimalBody)},
		{Service: "../entries", Author: "ada", Body: []byte(minimalBody)},
	} {
		_, err := f.editor.Put(t.Context(), e)
		f.Expect(errors.Is(err, document.ErrInvalid)).To(gomega.BeTrue())
	}
	f.Expect(f.server.Calls().Total).To(gomega.BeEmpty())
}
