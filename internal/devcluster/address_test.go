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

// uniqueLoopbackHost is a loopback address on which no other process listens, because it depends on the process id. No
// other process can therefore take over the port of an entry that was stopped.
var uniqueLoopbackHost = fmt.Sprintf("127.%d.%d.2", 64+os.Getpid()>>8&63, os.Getpid()&255)

// Guards against agents that connect to an entry of another deployment, which listens on the address of a stopped entry of
// their own deployment. The agents would run tasks of the other deployment: their upstreams would count more starts than
// their own deployment has tasks, and no task would be counted as started twice.
var _ = ginkgo.It("keeps agents from connecting to another deployment that reuses the address of a stopped entry", func() {
	address := uniqueLoopbackHost + ":0"
	options := devcluster.Options{EntryOptions: func(o *entry.Options) { o.LinkAddress = address }}
	otherCluster := startWith(options)
	recorder := &startRecorder{}
	options.OnStart = recorder.add
	cluster := startWith(options)
	stopped := cluster.Entries[0]
	stopped.Stop()
	<-stopped.Done
	address = stopped.LinkAddress()
	successor, err := otherCluster.StartEntry("entry-99", stopped.Options.DataCentre)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	time.Sleep(2 * time.Second) // the agents redial the address within a few 100 ms
	const jobs = 20
	for range jobs {
		// Agents do not fence jobs without a key by their list of entries. With a key, fencing would hide the fault.
		r, err := submit("http://"+successor.CallerAddress(), "", 20, 20)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(r.status).To(gomega.Equal(http.StatusOK))
	}
	starts, err := cluster.Starts(context.Background())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(starts.Started).To(gomega.BeZero(), func() string { return recorder.describeUnexpectedStarts(nil, 0) })
	starts, err = otherCluster.Starts(context.Background())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(starts.Started).To(gomega.BeEquivalentTo(2 * jobs))
})
