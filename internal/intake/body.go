package intake

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"
)

// Errors of bodies. Status returns the status of the answer.
var (
	// ErrBodyTooLarge means that a body exceeds the limit.
	ErrBodyTooLarge = eris.New("request body is too large")
	// ErrBodyTooSlow means that a body did not arrive in time.
	ErrBodyTooSlow = eris.New("request body did not arrive in time")
	// ErrNoRoom means that there is no room for the request now. Nothing of it has run.
	ErrNoRoom = eris.New("no room for the request")
	// ErrBodyIncomplete means that the connection failed before the body was complete.
	ErrBodyIncomplete = eris.New("request body is incomplete")
)

// Status returns the status of the answer to a request with an error of this package, and 400 for other errors.
func Status(err error) int {
	switch {
	case errors.Is(err, ErrBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrBodyTooSlow):
		return http.StatusRequestTimeout
	case errors.Is(err, ErrNoRoom):
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadRequest
	}
}

// Handler returns a handler that begins the accounting of requests. All requests of the port have to pass through it.
func (p *Port) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		c.bodySize = r.ContentLength
		p.trimHeader(c, r)
		if r.Body == http.NoBody && !p.move(c, phaseServed) || phase(c.phase.Load()) == phaseEnding {
			p.endUnread(w, c)
			w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// trimHeader drops the fields of a large header section that no handler uses, and returns its memory.
func (p *Port) trimHeader(c *Conn, r *http.Request) {
	if p.options.KeepHeaders == nil || c.holds(p.budget.headers) == 0 {
		return
	}
	kept := make(http.Header, len(p.options.KeepHeaders))
	for _, name := range p.options.KeepHeaders {
		if values := r.Header.Values(name); len(values) > 0 {
			kept.Set(name, values[0])
		}
	}
	r.Header = kept
	c.release(p.budget.headers, int64(max(len(r.RequestURI)+len(r.Host)-allowanceHeaderBytes, 0))*headerByteCost)
}

// Body is the body of a request. Release has to be called when it and what was decoded from it are no longer in use.
type Body struct {
	Bytes []byte
	conn  *Conn
}

// ReadBody reads the body of a request to its end. It returns ErrBodyTooLarge, ErrBodyTooSlow, ErrNoRoom or ErrBodyIncomplete; the
// connection is then closed after the answer.
func (p *Port) ReadBody(w http.ResponseWriter, r *http.Request) (*Body, error) {
	return p.ReadBodyUpTo(w, r, p.limits().BodyBytes)
}

// ReadBodyUpTo is ReadBody with another limit than that of the port.
func (p *Port) ReadBodyUpTo(w http.ResponseWriter, r *http.Request, limit int) (*Body, error) {
	b := &Body{conn: connOf(r)}
	err := b.read(p, r, int64(limit))
	r.Trailer = nil // can hold very many lines
	if b.conn == nil {
		return b, err
	}
	if err == nil && !p.move(b.conn, phaseServed) {
		err = b.conn.evictionError()
	}
	if err != nil {
		b.Bytes = nil
		b.Release()
		p.endUnread(w, b.conn)
		return nil, err
	}
	return b, nil
}

// endUnread makes the server close the connection after the answer, without waiting for the rest of the body.
func (p *Port) endUnread(w http.ResponseWriter, c *Conn) {
	w.Header().Set("Connection", "close")
	p.move(c, phaseEnding)
	c.interruptReads()
	c.linger.Store(true)
}

func (b *Body) read(p *Port, r *http.Request, limit int64) error {
	if r.ContentLength > limit {
		p.refusals.add(bodyTooLarge)
		return eris.Wrapf(ErrBodyTooLarge, "%d bytes, the limit is %d", r.ContentLength, limit)
	}
	most := limit + 1 // one more than is needed, for the read that returns the end
	if r.ContentLength >= 0 {
		most = r.ContentLength + 1
	}
	b.Bytes = make([]byte, 0, min(most, allowanceBodyBytes))
	for {
		if len(b.Bytes) == cap(b.Bytes) {
			if int64(len(b.Bytes)) == most {
				p.refusals.add(bodyTooLarge)
				return eris.Wrapf(ErrBodyTooLarge, "the limit is %d bytes", limit)
			}
			if err := b.grow(p, int(min(most, int64(4*cap(b.Bytes))))); err != nil {
				return err
			}
		}
		n, err := r.Body.Read(b.Bytes[len(b.Bytes):cap(b.Bytes)])
		b.Bytes = b.Bytes[:len(b.Bytes)+n]
		if b.conn != nil {
			b.conn.bodyBytes.Store(int64(len(b.Bytes)))
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil && b.conn != nil && phase(b.conn.phase.Load()) == phaseEnding:
			return b.conn.evictionError()
		case err != nil:
			return errors.Join(ErrBodyIncomplete, err)
		}
	}
}

// grow moves the body to a larger buffer.
func (b *Body) grow(p *Port, size int) error {
	if b.conn != nil {
		if !p.reserve(b.conn, p.budget.bodies, phaseBody, int64(size)*bodyByteCost, bodyNoRoom) {
			p.refusals.add(bodyNoRoom)
			return eris.Wrap(ErrNoRoom, "for the body")
		}
	}
	grown := make([]byte, len(b.Bytes), size)
	copy(grown, b.Bytes)
	b.Bytes = grown
	return nil
}

// ReserveDecoded reserves the memory for what is decoded from the body. It returns ErrNoRoom if there is not enough.
func (b *Body) ReserveDecoded(values int) error {
	if b.conn == nil || values <= allowanceValues {
		return nil
	}
	p := b.conn.port
	if !b.conn.hold(p.budget.bodies, b.conn.holds(p.budget.bodies)+int64(values)*valueCost) {
		p.refusals.add(decodedNoRoom)
		return eris.Wrap(ErrNoRoom, "to decode the body")
	}
	return nil
}

// Release returns the memory of the body.
func (b *Body) Release() {
	b.Bytes = nil
	if b.conn != nil {
		b.conn.release(b.conn.port.budget.bodies, 0)
	}
}

// evictionError returns the error of a request whose connection was evicted while its body was read.
func (c *Conn) evictionError() error {
	c.port.mu.Lock()
	defer c.port.mu.Unlock()
	if c.cause == bodyTooSlow {
		return ErrBodyTooSlow
	}
	return ErrNoRoom
}
