package devcluster_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/deployment"
	"github.com/coltsfootspur/coltsfootspur/internal/devcluster"
	"github.com/coltsfootspur/coltsfootspur/internal/entry"
	"github.com/coltsfootspur/coltsfootspur/internal/store"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Guards against a recovery that never ends because an agent that connects after the change of the list of entries is not
// asked for its start records. This happens to an entry that is killed and restarted: the list still contains its previous
// incarnation.
func TestRecoveryCollectsFromAgentsThatConnectLater(t *testing.T) {
	g := gomega.NewWithT(t)
	d, err := deployment.Load("mkeka")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	list, err := json.Marshal(wire.EntryList{Version: 5, Departed: []wire.Departed{
		{ID: "entry-00", Incarnation: 7, AtVersion: 5, At: time.Now()},
	}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var once sync.Once
	cluster, err := devcluster.Start(context.Background(), devcluster.Options{
		Deployment: d,
		EntryOptions: func(o *entry.Options) {
			once.Do(func() {
				err := o.Store.CompareAndSwap(context.Background(), store.WatchPrefix+"entries", list, 0)
				g.Expect(err).NotTo(gomega.HaveOccurred())
			})
		},
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer cluster.Close()
	for _, e := range cluster.Entries {
		g.Eventually(func() (int, error) {
			state, err := e.Dump(context.Background())
			if err != nil {
				return 0, err
			}
			return state.(*entry.Dump).Submissions.PendingAgents, nil
		}, 10*time.Second, 50*time.Millisecond).Should(gomega.BeZero(), e.Options.ID)
	}
}
