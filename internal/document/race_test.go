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
	// maxFaults bounds the faults of one run, so that every edit ends.
	maxFaults = 20
	// faultShare is the divisor of the share of calls that meet a fault.
	faultShare = 3
)

// racer is one editor that makes one edit after the other until one of them is not clear.
type racer struct {
	store   raceStore
	cancel  context.CancelFunc
	waiting *call
	// results receives one result for each edit and is closed after the last one.
	results chan result
}

type result struct {
	body string
	doc  document.Document
	err  error
}

// newRacer starts an editor with a number of edits, each based on the revision that it read before.
func newRacer(id, edits int) *racer {
	ctx, cancel := context.WithCancel(context.Background())
	r := &racer{store: raceStore{calls: make(chan *call)}, cancel: cancel, results: make(chan result)}
	editor := document.NewEditor(r.store, instantClock{})
	go func() {
		defer close(r.results)
		for n := range edits {
			record, err := editor.Get(ctx, "bench")
			if err != nil && !errors.Is(err, document.ErrNotFound) {
				continue
			}
			body := fmt.Sprintf("%s# %d/%d", minimal, id, n)
			doc, err := editor.Put(ctx, document.Edit{Service: "bench", Expected: record.Revision, Author: fmt.Sprint(id), Body: []byte(body)})
			r.results <- result{body, doc, err}
		}
	}()
	return r
}

// advance waits for the next call of the racer and collects results on the way. It returns false after the last edit.
func (r *racer) advance(collect func(result)) bool {
	for r.waiting == nil {
		select {
		case r.waiting = <-r.store.calls:
		case res, more := <-r.results:
			if !more {
				return false
			}
			collect(res)
		}
	}
	return true
}

// Guards against an accepted edit that is lost or mixed with another, a refused one that takes effect, and an edit that
// takes effect twice, and against an index that goes back, runs ahead of the record or lacks an edit that was reported as
// done, under any interleaving of editors and lost, late and refused calls.
func TestRacingEditors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := newRaceData()
		var racers []*racer
		for id := range rapid.IntRange(1, 4).Draw(t, "editors") {
			racers = append(racers, newRacer(id, rapid.IntRange(1, 6).Draw(t, "edits")))
		}
		var results []result
		var late []*call
		faults := 0
		for {
			racers = running(racers, func(r result) { results = append(results, r) })
			if len(racers) == 0 {
				break
			}
			if len(late) > 0 && rapid.Bool().Draw(t, "late write arrives") {
				data.swap(late[0])
				late = late[1:]
			}
			r := rapid.SampledFrom(racers).Draw(t, "racer")
			f := fateAnswered
			if faults < maxFaults && rapid.IntRange(1, faultShare).Draw(t, "fault") == 1 {
				f = fate(rapid.IntRange(int(fateLost), int(fates)-1).Draw(t, "fate"))
				faults++
			}
			if rapid.IntRange(0, 20).Draw(t, "give up") == 0 {
				r.cancel()
			}
			if w := data.decide(r.waiting, f); w != nil {
				late = append(late, w)
			}
			r.waiting = nil
		}
		for _, w := range late {
			data.swap(w)
		}
		checkRace(t, data, results)
	})
}

// running returns the racers that wait for a call.
func running(racers []*racer, collect func(result)) []*racer {
	var left []*racer
	for _, r := range racers {
		if r.advance(collect) {
			left = append(left, r)
		} else {
			r.cancel()
		}
	}
	return left
}

func checkRace(t *rapid.T, data *raceData, results []result) {
	effective := map[string]uint64{}
	for i, record := range data.log {
		if record.Revision != uint64(i)+1 {
			t.Fatalf("write %d has revision %d", i, record.Revision)
		}
		if _, twice := effective[record.Body]; twice {
			t.Fatalf("edit took effect twice: %q", record.Body)
		}
		effective[record.Body] = record.Revision
		checkHistory(t, data.log[:i], record)
	}
	for _, r := range results {
		revision, took := effective[r.body]
		switch {
		case (r.err == nil || errors.Is(r.err, document.ErrNotIndexed)) &&
			(!took || r.doc.Revision != revision || r.doc.Body != r.body):
			t.Fatalf("accepted edit was lost: %q", r.body)
		case r.err == nil && data.indexed() < revision:
			t.Fatalf("accepted edit is not in the index: %q", r.body)
		case errors.Is(r.err, document.ErrConflict) || errors.Is(r.err, document.ErrUnreachable):
			if took {
				t.Fatalf("edit took effect but was reported as %v", r.err)
			}
		case r.err != nil && !errors.Is(r.err, document.ErrUnclear) && !errors.Is(r.err, document.ErrNotIndexed):
			t.Fatalf("unexpected error: %v", r.err)
		}
	}
}

func checkHistory(t *rapid.T, before []document.Record, record document.Record) {
	if len(record.History) != min(len(before), document.MaxHistory) {
		t.Fatalf("revision %d has %d former ones", record.Revision, len(record.History))
	}
	for i, past := range record.History {
		if want := before[len(before)-1-i]; past.EditID != want.EditID || past.Body != want.Body {
			t.Fatalf("history of revision %d is wrong at %d", record.Revision, i)
		}
	}
}
