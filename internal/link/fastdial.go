package link

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Times of connections between processes that beat several times a second.
const (
	// fastDialTimeout bounds the attempt to connect. A host without power or behind a partition does not answer at all, and the
	// kernel sends the opening packet again only after a second, so that the next attempt finds a host that is back sooner.
	// A round trip between regions takes about 20 ms.
	fastDialTimeout = 100 * time.Millisecond
	// userTimeout is the time after which unacknowledged data ends a connection. It is longer than the silence after
	// which the processes themselves give up a link, and only bounds what the kernel keeps.
	userTimeout = 2 * time.Second
)

// FastDial connects within 100 ms and lets the kernel end the connection when data is not acknowledged for 2 s.
func FastDial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: fastDialTimeout, KeepAlive: -1, Control: limitUnacknowledged}
	return d.DialContext(ctx, network, address)
}

func limitUnacknowledged(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
