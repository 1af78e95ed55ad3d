package link

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts of connections between processes that send several heartbeats a second.
const (
	// fastDialTimeout bounds one connection attempt. A host that is powered off or partitioned does not answer at all, and
	// the kernel retransmits a SYN only after a second. A new attempt after 100 ms therefore reaches a host that has come
	// back sooner than a longer timeout would. A round trip between regions takes about 20 ms.
	fastDialTimeout = 100 * time.Millisecond
	// userTimeout is the time after which the kernel closes a connection whose data is not acknowledged. It is longer than
	// the silence after which the processes themselves close a link, and only bounds the state that the kernel keeps.
	userTimeout = 2 * time.Second
)

// FastDial connects with a timeout of 100 ms. The kernel closes the connection when sent data is not acknowledged for 2 s.
func FastDial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: fastDialTimeout, KeepAlive: -1, Control: setUserTimeout}
	return d.DialContext(ctx, network, address)
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockoptErr error
	err := c.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}
