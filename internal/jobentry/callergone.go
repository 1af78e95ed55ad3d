package jobentry

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// connKey is the context key of a caller's connection.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// CallerGone reports whether the caller of a request has closed its connection. The HTTP server detects this only after the
// handler has started, so a process that resumes after a pause would run the pending requests of callers that are gone.
func CallerGone(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	gone := false
	var next [1]byte
	err = raw.Control(func(fd uintptr) {
		n, _, err := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed := n == 0 && err == nil
		reset := errors.Is(err, unix.ECONNRESET) || errors.Is(err, unix.EPIPE)
		gone = closed || reset
	})
	return err == nil && gone
}
