package devcluster_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/devcluster"
	"github.com/coltsfootspur/coltsfootspur/internal/entry"
)

// ownHost is an address of loopback on which nobody else listens, so that no other process takes a port that was given up.
var ownHost = fmt.Sprintf("127.%d.%d.2", 64+os.Getpid()>>8&63, os.Getpid()&255)

// Guards against agents that link to an entry of another deployment, which got the address of an entry of their own that
// was stopped. They would run tasks of the other one, and their upstreams would count more starts than tasks, none twice.
var _ = ginkgo.It("keeps its agents from a deployment that gets the address of a stopped entry", func() {
	address := ownHost + ":0"
	options := devcluster.Options{EntryOptions: func(o *entry.Options) { o.LinkAddress = address }}
	other := startWith(options)
	record := &startRecord{}
	options.OnStart = record.add
	own := startWith(options)
	stopped := own.Entries[0]
	stopped.Stop()
	<-stopped.Ended
	address = stopped.LinkAddress()
	successor, err := other.StartEntry("entry-99", stopped.Options.DataCentre)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	time.Sleep(2 * time.Second) // the agents dial the address again in some 100 ms
	const jobs = 20
	for range jobs {
		// A job without a key is not fenced by the list of the agents.
		r, err := submit("http://"+successor.CallerAddress(), "", 20, 20)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(r.status).To(gomega.Equal(http.StatusOK))
	}
	starts, err := own.Starts(context.Background())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(starts.Started).To(gomega.BeZero(), func() string { return record.explain(nil, 0) })
	starts, err = other.Starts(context.Background())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(starts.Started).To(gomega.BeEquivalentTo(2 * jobs))
})
