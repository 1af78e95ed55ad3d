package link

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// Guards against an agent that keeps waiting for a host that was powered off and has come back: nothing answers the SYN, and
// the kernel retransmits it only after a second.
func TestFastDialTimesOut(t *testing.T) {
	g := gomega.NewWithT(t)
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer unix.Close(fd)
	g.Expect(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})).To(gomega.Succeed())
	g.Expect(unix.Listen(fd, 0)).To(gomega.Succeed())
	name, err := unix.Getsockname(fd)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	address := fmt.Sprintf("127.0.0.1:%d", name.(*unix.SockaddrInet4).Port)
	var dialErr error
	var took time.Duration
	for range 4 { // fills the accept queue, so that the kernel drops further SYNs
		began := time.Now()
		conn, err := FastDial(context.Background(), "tcp", address)
		took = time.Since(began)
		if dialErr = err; err != nil {
			break
		}
		defer conn.Close()
	}
	g.Expect(dialErr).To(gomega.HaveOccurred())
	g.Expect(took).To(gomega.BeNumerically("<", 200*time.Millisecond))
}
