package worker

import (
	"bytes"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a closed worker that still starts runs, from a call that it would have executed late.
func TestClosedWorkerStartsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	free, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	address := free.Addr().String()
	g.Expect(free.Close()).To(gomega.Succeed())
	ledger := NewLedger()
	w, err := Start(address, "w", Options{MilliCPU: 1000, Need: 1000, RunTime: time.Second, Ledger: ledger})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	w.SetFaults(Faults{Late: 1})
	client := &http.Client{Timeout: 100 * time.Millisecond}
	body := bytes.NewBufferString(`{"Task":"j.0.0.0","Attempt":1,"DeadlineMs":60000,"FencingToken":1}`)
	_, err = client.Post("http://"+address+"/v1/run-start", "application/json", body)
	g.Expect(err).To(gomega.HaveOccurred(), "a late call gets no answer")
	w.Close()
	time.Sleep(maxLateDelay + 100*time.Millisecond)
	g.Expect(ledger.Starts("j.0.0.0")).To(gomega.BeZero())
}
