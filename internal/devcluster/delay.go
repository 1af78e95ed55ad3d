package devcluster

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/link"
)

// delayedDialer opens connections that delay frames by a fixed time in both directions, which simulates the network
// between two data centres.
type delayedDialer struct {
	dialer link.Dialer
	// delay returns the one-way delay to the process that listens on an address; 0 means no delay.
	delay func(address string) time.Duration
}

// Dial implements link.Dialer.
func (d delayedDialer) Dial(ctx context.Context, address string) (link.Conn, error) {
	conn, err := d.dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	delay := d.delay(address)
	if delay <= 0 {
		return conn, nil
	}
	return newDelayedConn(conn, delay), nil
}

// Probe implements link.Prober. Probes are not delayed.
func (d delayedDialer) Probe(ctx context.Context, address string) error {
	if prober, ok := d.dialer.(link.Prober); ok {
		return prober.Probe(ctx, address)
	}
	return link.ErrDial
}

// frameQueueLength limits the number of delayed frames in one direction.
const frameQueueLength = 4096

type delayedFrame struct {
	frame []byte
	err   error
	due   time.Time
}

// delayedConn is a connection that delays frames without limiting their rate.
type delayedConn struct {
	conn     link.Conn
	delay    time.Duration
	outgoing chan delayedFrame
	incoming chan delayedFrame
	done     chan struct{}
	close    sync.Once
}

func newDelayedConn(conn link.Conn, delay time.Duration) *delayedConn {
	c := &delayedConn{
		conn: conn, delay: delay, done: make(chan struct{}),
		outgoing: make(chan delayedFrame, frameQueueLength), incoming: make(chan delayedFrame, frameQueueLength),
	}
	go c.send()
	go c.receive()
	return c
}

func (c *delayedConn) send() {
	for {
		select {
		case <-c.done:
			return
		case f := <-c.outgoing:
			c.sleepUntil(f.due)
			if c.conn.WriteFrame(context.Background(), f.frame) != nil {
				_ = c.Close()
				return
			}
		}
	}
}

func (c *delayedConn) receive() {
	for {
		frame, err := c.conn.ReadFrame(context.Background())
		select {
		case <-c.done:
			return
		case c.incoming <- delayedFrame{frame, err, time.Now().Add(c.delay)}:
		}
		if err != nil {
			return
		}
	}
}

func (c *delayedConn) sleepUntil(due time.Time) {
	if d := time.Until(due); d > 0 {
		time.Sleep(d)
	}
}

// ReadFrame implements link.Conn.
func (c *delayedConn) ReadFrame(ctx context.Context) ([]byte, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-c.done:
		return nil, link.ErrClosed
	case f := <-c.incoming:
		c.sleepUntil(f.due)
		return f.frame, f.err
	}
}

// WriteFrame implements link.Conn.
func (c *delayedConn) WriteFrame(ctx context.Context, frame []byte) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-c.done:
		return link.ErrClosed
	case c.outgoing <- delayedFrame{frame: frame, due: time.Now().Add(c.delay)}:
		return nil
	}
}

// Close implements link.Conn.
func (c *delayedConn) Close() error {
	c.close.Do(func() { close(c.done) })
	return c.conn.Close()
}
