package intake

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// startServer serves a port with small limits. Its handler reads the body and answers with its length.
func startServer(t testing.TB, shares Shares, limits Limits) (*Port, string) {
	logger := &log.Logger{Handler: discard.Default}
	port := NewBudget(shares).CallerPort(PortOptions{
		Name: "test", Limits: func() Limits { return limits }, KeepHeaders: []string{"X-Kept"}, Log: logger,
	})
	handler := port.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_, _ = io.WriteString(w, r.Header.Get("X-Kept")+"/"+r.Header.Get("X-Dropped"))
			return
		}
		body, err := port.ReadBody(w, r)
		if err != nil {
			w.WriteHeader(Status(err))
			return
		}
		defer body.Release()
		_, _ = fmt.Fprint(w, len(body.Bytes))
	}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ConnState: port.ConnState, ConnContext: port.ConnContext}
	go func() { _ = server.Serve(port.Listen(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	return port, listener.Addr().String()
}

func dial(g *gomega.WithT, address, text string) net.Conn {
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(gomega.Succeed())
	_, _ = io.WriteString(conn, text) // the server may have closed it
	return conn
}

// status returns the status of the next response of a connection, or 0 if it ends without one.
func status(conn net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

var smallLimits = Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 10, HeaderTimeout: 500 * time.Millisecond, IdleTimeout: 500 * time.Millisecond}

// Guards against limits that refuse a request which meets them, that let one pass which does not, and against connections that
// stay open without progress.
func TestLimitsOfOneRequest(t *testing.T) {
	const get, post = "GET / HTTP/1.1\r\nHost: h\r\n", "POST / HTTP/1.1\r\nHost: h\r\n"
	lines := func(size int) string { return strings.Repeat("a:\n", (size-len(get)-2)/3) }
	for name, c := range map[string]struct {
		text string
		want int
	}{
		"ordinary":                  {get + "\r\n", 200},
		"short lines in the limit":  {get + lines(16<<10) + "\r\n", 200},
		"short lines over it":       {get + lines(17<<10) + "\r\n", 431},
		"a long line in the limit":  {get + "a:" + strings.Repeat("x", 16<<10-len(get)-6) + "\r\n\r\n", 200},
		"a long line over it":       {get + "a:" + strings.Repeat("x", 17<<10), 431},
		"half a header section":     {get, 408},
		"nothing":                   {"", 0},
		"empty lines":               {strings.Repeat("\r\n", 100_000), 400},
		"a body":                    {post + "Content-Length: 65536\r\n\r\n" + strings.Repeat("x", 64<<10), 200},
		"a body over the limit":     {post + "Content-Length: 65537\r\n\r\n", 413},
		"chunks over the limit":     {post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1000\r\n"+strings.Repeat("x", 4096)+"\r\n", 17), 413},
		"half a body":               {post + "Content-Length: 2\r\n\r\nx", 408},
		"a body that no one reads":  {get + "Content-Length: 100000\r\n\r\n", 200},
		"a body with many trailers": {post + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("a:\n", 1300) + "z:\r\n\r\n", 200},
	} {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			port, address := startServer(t, NewShares(Resources{}), smallLimits)
			conn := dial(g, address, c.text)
			defer conn.Close()
			g.Expect(status(conn)).To(gomega.Equal(c.want))
			g.Eventually(func() int { return port.count()["open"] }, "5s", "10ms").Should(gomega.BeZero(), "the connection is closed in time")
			g.Expect(port.budget.headers.inUse()+port.budget.bodies.inUse()).To(gomega.BeZero(), "its memory is released")
		})
	}
}

// Guards against header lines that are not counted because they arrive with the request before them, and against a header field
// that is lost in a large section.
func TestPipelinedRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	port, address := startServer(t, NewShares(Resources{}), smallLimits)
	conn := dial(g, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\nX-Kept: yes\r\nX-Dropped: no\r\n"+strings.Repeat("a:\n", 1200))
	defer conn.Close()
	g.Eventually(port.budget.headers.inUse, "400ms", "1ms").Should(gomega.BeNumerically(">", 1000*lineCost))
	_, err := io.WriteString(conn, "\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	all, _ := io.ReadAll(conn)
	g.Expect(strings.Count(string(all), "200 OK")).To(gomega.Equal(2))
	g.Expect(string(all)).To(gomega.HaveSuffix("yes/"))
}

// Guards against clients that hold all connections, or all memory of a pool, and thereby exclude others. All of them come from
// one address.
func TestClientsThatHoldEverythingAreEvicted(t *testing.T) {
	for name, text := range map[string]string{
		"silent": "", "lines": "GET / HTTP/1.1\r\n" + strings.Repeat("a:\n", 4000), "bodies": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("x", 59_999),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			limits := smallLimits
			limits.HeaderTimeout, limits.IdleTimeout = time.Minute, time.Minute
			port, address := startServer(t, Shares{MaxPending: 16, MaxOpen: 24, HeaderBytes: 4 << 20, BodyBytes: 1 << 20}, limits)
			for range 60 {
				conn := dial(g, address, text)
				defer conn.Close()
			}
			g.Expect(port.count()["open"]).To(gomega.BeNumerically("<=", 24))
			ordinary := dial(g, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n"+strings.Repeat("x", 5000))
			defer ordinary.Close()
			g.Expect(status(ordinary)).To(gomega.Equal(http.StatusOK))
		})
	}
}

// Guards against a client that holds an answer in memory by not reading it.
func TestClientThatDoesNotRead(t *testing.T) {
	g := gomega.NewWithT(t)
	p := NewBudget(NewShares(Resources{})).CallerPort(PortOptions{WriteTimeout: 50 * time.Millisecond})
	client, server := net.Pipe()
	defer client.Close()
	_, err := p.add(server).Write([]byte("answer"))
	g.Expect(err).To(gomega.MatchError(os.ErrDeadlineExceeded))
}

// Guards against a request that is evicted while it is served.
func TestServedRequestsAreNotEvicted(t *testing.T) {
	g := gomega.NewWithT(t)
	p := NewBudget(Shares{MaxPending: 4, MaxOpen: 4}).CallerPort(PortOptions{})
	for range 4 {
		client, server := net.Pipe()
		defer client.Close()
		g.Expect(p.move(p.add(server), phaseServed)).To(gomega.BeTrue())
	}
	g.Expect(p.makeRoom(time.Now().Add(time.Hour))).To(gomega.BeFalse())
	g.Expect(p.count()["open"]).To(gomega.Equal(4))
}

// Guards against a scan that misses lines of a header section or counts those of the body, however the bytes arrive.
func TestHeaderScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		section := "GET / HTTP/1.1" + rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "end")
		n := rapid.IntRange(0, 20).Draw(t, "lines")
		for range n {
			section += rapid.SampledFrom([]string{"a:\n", "a: b\r\n", "\rx:\n", "abc: \r \n"}).Draw(t, "line")
		}
		section += rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "last")
		text := section + rapid.StringOf(rapid.SampledFrom([]rune("{\n\r}"))).Draw(t, "body")
		var s headerScan
		for rest := text; rest != ""; {
			size := rapid.IntRange(1, len(rest)).Draw(t, "size")
			s.add([]byte(rest[:size]))
			rest = rest[size:]
		}
		if s.bytes != len(section) || s.lines != n+2 || !s.ended {
			t.Fatalf("%q: %+v, want %d bytes and %d lines", text, s, len(section), n+2)
		}
	})
}

// FuzzCountValues guards against a text that decodes to more values than were counted.
func FuzzCountValues(f *testing.F) {
	for _, seed := range []string{`{}`, `[{},{}]`, `{"a":[1,"\",[",null]}`, `"\\",`, "[[[", `{"a":"[,"}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var decoded any
		counted, err := CountValues(text, 1000, 32)
		if err != nil || json.Unmarshal(text, &decoded) != nil {
			return
		}
		if n := countDecoded(decoded); n > counted {
			t.Fatalf("%q has %d values, counted %d", text, n, counted)
		}
	})
}

func countDecoded(value any) int {
	n := 1
	switch v := value.(type) {
	case []any:
		for _, e := range v {
			n += countDecoded(e)
		}
	case map[string]any:
		for _, e := range v {
			n += countDecoded(e)
		}
	}
	return n
}

// BenchmarkOrdinaryRequest measures the cost of the accounting of an ordinary request, without the server.
func BenchmarkOrdinaryRequest(b *testing.B) {
	p := NewBudget(NewShares(Resources{})).CallerPort(PortOptions{})
	header := []byte("POST /jobs/a HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("X-Name: value\r\n", 12) + "\r\n" + strings.Repeat("x", 700))
	client, server := net.Pipe()
	defer client.Close()
	b.ReportAllocs()
	for range b.N {
		p.makeRoom(time.Now())
		c := p.add(server)
		c.recent.add(header)
		_, _ = c.countHeader(header, nil)
		p.move(c, phaseBody)
		p.move(c, phaseServed)
		c.releaseAll()
		p.remove(c)
	}
}
