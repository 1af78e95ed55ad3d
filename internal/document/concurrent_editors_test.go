package document_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/coltsfootspur/coltsfootspur/internal/document"
)

const (
	// maxFaultsPerRun limits the faults of one run, so that every edit ends.
	maxFaultsPerRun = 20
	// callsPerFault is the mean number of calls for each fault.
	callsPerFault = 3
)

// concurrentEditor is an editor that makes a number of edits in sequence in a goroutine of its own.
type concurrentEditor struct {
	store   scheduledStore
	cancel  context.CancelFunc
	pending *storeCall
	// results receives the result of each edit and is closed after the last one.
	results chan editResult
}

type editResult struct {
	body string
	doc  document.Document
	err  error
}

// startEditor starts an editor that makes a number of edits, each based on the revision that it reads first. If the read
// fails, it skips the edit.
func startEditor(id, edits int) *concurrentEditor {
	ctx, cancel := context.WithCancel(context.Background())
	e := &concurrentEditor{store: scheduledStore{calls: make(chan *storeCall)}, cancel: cancel, results: make(chan editResult)}
	editor := document.NewEditor(e.store, instantClock{})
	go func() {
		defer close(e.results)
		for n := range edits {
			record, err := editor.Get(ctx, "bench")
			if err != nil && !errors.Is(err, document.ErrNotFound) {
				continue
			}
			body := fmt.Sprintf("%s# %d/%d", minimalBody, id, n)
			doc, err := editor.Put(ctx, document.Edit{Service: "bench", ExpectedRevision: record.Revision, Author: fmt.Sprint(id), Body: []byte(body)})
			e.results <- editResult{body, doc, err}
		}
	}()
	return e
}

// awaitCall waits until the editor has a pending store call and collects the results of edits that end before. It returns
// false after the last edit.
func (e *concurrentEditor) awaitCall(collect func(editResult)) bool {
	for e.pending == nil {
		select {
		case e.pending = <-e.store.calls:
		case res, more := <-e.results:
			if !more {
				return false
			}
			collect(res)
		}
	}
	return true
}

// Guards against an accepted edit that is lost or mixed with another one, a rejected edit that takes effect, and an edit
// that takes effect twice. Also guards against an index that returns to an older revision, contains a revision before its
// record is written, or lacks an edit that was reported as successful. The test chooses random interleavings of the calls of
// several editors and lets calls get lost, delayed or fail.
func TestConcurrentEditors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := newStoreContent()
		var editors []*concurrentEditor
		for id := range rapid.IntRange(1, 4).Draw(t, "editors") {
			editors = append(editors, startEditor(id, rapid.IntRange(1, 6).Draw(t, "edits")))
		}
		var results []editResult
		var delayed []*storeCall
		faults := 0
		for {
			editors = awaitCalls(editors, func(r editResult) { results = append(results, r) })
			if len(editors) == 0 {
				break
			}
			if len(delayed) > 0 && rapid.Bool().Draw(t, "apply a delayed write") {
				data.compareAndSwap(delayed[0])
				delayed = delayed[1:]
			}
			editor := rapid.SampledFrom(editors).Draw(t, "editor")
			outcome := outcomeAnswered
			if faults < maxFaultsPerRun && rapid.IntRange(1, callsPerFault).Draw(t, "fault") == 1 {
				outcome = callOutcome(rapid.IntRange(int(outcomeAnswerLost), int(outcomeCount)-1).Draw(t, "outcome"))
				faults++
			}
			if rapid.IntRange(0, 20).Draw(t, "cancel") == 0 {
				editor.cancel()
			}
			if write := data.complete(editor.pending, outcome); write != nil {
				delayed = append(delayed, write)
			}
			editor.pending = nil
		}
		for _, write := range delayed {
			data.compareAndSwap(write)
		}
		checkResults(t, data, results)
	})
}

// awaitCalls waits for the next call of each editor and returns the editors that have one.
func awaitCalls(editors []*concurrentEditor, collect func(editResult)) []*concurrentEditor {
	var active []*concurrentEditor
	for _, editor := range editors {
		if editor.awaitCall(collect) {
			active = append(active, editor)
		} else {
			editor.cancel()
		}
	}
	return active
}

// checkResults compares the results that the editors got with the writes that took effect.
func checkResults(t *rapid.T, data *storeContent, results []editResult) {
	effective := map[string]uint64{}
	for i, record := range data.writes {
		if record.Revision != uint64(i)+1 {
			t.Fatalf("write %d has revision %d", i, record.Revision)
		}
		if _, twice := effective[record.Body]; twice {
			t.Fatalf("edit took effect twice: %q", record.Body)
		}
		effective[record.Body] = record.Revision
		checkHistory(t, data.writes[:i], record)
	}
	for _, r := range results {
		revision, tookEffect := effective[r.body]
		switch {
		case (r.err == nil || errors.Is(r.err, document.ErrNotIndexed)) &&
			(!tookEffect || r.doc.Revision != revision || r.doc.Body != r.body):
			t.Fatalf("accepted edit was lost: %q", r.body)
		case r.err == nil && data.indexedRevision() < revision:
			t.Fatalf("accepted edit is not in the index: %q", r.body)
		case errors.Is(r.err, document.ErrConflict) || errors.Is(r.err, document.ErrUnreachable):
			if tookEffect {
				t.Fatalf("edit took effect but was reported as %v", r.err)
			}
		case r.err != nil && !errors.Is(r.err, document.ErrOutcomeUnknown) && !errors.Is(r.err, document.ErrNotIndexed):
			t.Fatalf("unexpected error: %v", r.err)
		}
	}
}

func checkHistory(t *rapid.T, previous []document.Record, record document.Record) {
	if len(record.History) != min(len(previous), document.MaxHistory) {
		t.Fatalf("revision %d has a history of %d revisions", record.Revision, len(record.History))
	}
	for i, past := range record.History {
		if want := previous[len(previous)-1-i]; past.EditID != want.EditID || past.Body != want.Body {
			t.Fatalf("history of revision %d is wrong at %d", record.Revision, i)
		}
	}
}
