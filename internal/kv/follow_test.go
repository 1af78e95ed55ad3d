package kv_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/kv"
)

// scriptedStore answers each watch with the next of its results, and ranges with the items of its pages.
type scriptedStore struct {
	kv.Store
	watches chan watchResult
	pages   [][]kv.Item
	ranges  int
}

type watchResult struct {
	events []kv.Event
	err    error
}

func (s *scriptedStore) Range(_ context.Context, _, after string) (kv.Page, error) {
	s.ranges++
	for n, page := range s.pages {
		if page[0].Key > after {
			return kv.Page{Items: page, More: n < len(s.pages)-1, Revision: 10}, nil
		}
	}
	return kv.Page{Revision: 10}, nil
}

func (s *scriptedStore) Watch(ctx context.Context, _ string, after uint64, _ time.Duration) ([]kv.Event, uint64, error) {
	select {
	case r := <-s.watches:
		return r.events, after, r.err
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// Guards against a reader that stops following its keys because another writer stored values that together exceed what it
// accepts in one answer: it asked for the same changes again and again.
func TestChangesThatAreTooLargeAreReadInPages(t *testing.T) {
	for _, cause := range []error{kv.ErrTooLarge, kv.ErrCompacted} {
		t.Run(cause.Error(), func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := &scriptedStore{watches: make(chan watchResult, 1), pages: [][]kv.Item{{{Key: "p/a", Revision: 1}}, {{Key: "p/b", Revision: 2}}}}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			changes := make(chan string, 10)
			go kv.Follow(ctx, kv.FollowOptions{
				Store: s, Prefix: "p/", MaxWatchWait: time.Second, Log: &log.Logger{Handler: discard.Default},
				OnChange: func(v kv.View) {
					changes <- fmt.Sprint(len(v.Items), " keys, a at ", v.Items["p/a"].Revision)
				},
			})
			g.Eventually(changes).Should(gomega.Receive(gomega.Equal("2 keys, a at 1")))
			s.pages[0][0].Revision = 12
			s.watches <- watchResult{err: cause}
			g.Eventually(changes).Should(gomega.Receive(gomega.Equal("2 keys, a at 12")))
			s.watches <- watchResult{events: []kv.Event{{Item: kv.Item{Key: "p/c", Revision: 13}}}}
			g.Eventually(changes).Should(gomega.Receive(gomega.Equal("3 keys, a at 12")), "the watch goes on")
		})
	}
}
