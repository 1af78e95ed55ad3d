package catalog

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against an index that serves a request by another queue than a comparison with all queues does.
func TestIndexMatchesTheLinearSearch(t *testing.T) {
	queues := []Queue{
		{Name: "any-a", Prefix: "/a"},
		{Name: "host-a", Host: "Shop.Example", Prefix: "/a"},
		{Name: "host-a-again", Host: "shop.example", Prefix: "/a"},
		{Name: "any-a-later", Prefix: "/a"},
		{Name: "host-abc", Host: "shop.example", Prefix: "/abc/"},
		{Name: "host-abd", Host: "shop.example", Prefix: "/abd"},
		{Name: "any-abcd", Prefix: "/abc/d"},
		{Name: "kelvin", Host: "\u212aelvin", Prefix: ""},
		{Name: "only", Host: "only.example", Prefix: "/b"},
	}
	c := &Catalog{Queues: queues}
	c.BuildIndex()
	for _, r := range []struct{ host, path, queue string }{
		{"shop.example", "/a", "any-a"},
		{"SHOP.example:8080", "/ab", "any-a"},
		{"shop.example", "/abc/", "host-abc"},
		{"shop.example", "/abc/dx", "any-abcd"},
		{"shop.example", "/abdx", "host-abd"},
		{"other.example", "/abdx", "any-a"},
		{"kelvin", "/x", "kelvin"},
		{"KELVIN", "", "kelvin"},
		{"only.example", "/b/1", "only"},
		{"only.example", "/c", ""},
		{"", "/", ""},
	} {
		name := ""
		if q := c.MatchQueue(r.host, r.path); q != nil {
			name = q.Name
		}
		if name != r.queue {
			t.Errorf("%s%s matches %q, expected %q", r.host, r.path, name, r.queue)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringOfN(rapid.RuneFrom([]rune("ab/")), 0, 6, -1)
		hosts := rapid.SampledFrom([]string{"", "h", "H", "k", "\u212a", "\u017f", "S", "x\xff"})
		c := &Catalog{}
		for i := range rapid.IntRange(0, 30).Draw(t, "queues") {
			c.Queues = append(c.Queues, Queue{Name: fmt.Sprint(i), Host: hosts.Draw(t, "host"), Prefix: text.Draw(t, "prefix")})
		}
		c.BuildIndex()
		for range 20 {
			host, path := hosts.Draw(t, "request host"), text.Draw(t, "path")
			if got, want := c.MatchQueue(host, path), c.searchQueue(host, path); got != want {
				t.Fatalf("%q %q: %v, expected %v", host, path, got, want)
			}
		}
	})
}

// testCatalog has queues whose names, hosts and prefixes hardly repeat, as the worst case for the compression.
func testCatalog(queues int) *Catalog {
	c := &Catalog{Version: 7}
	for i := range queues {
		n := uint32(i+1) * 2654435761
		c.Queues = append(c.Queues, Queue{
			Name: fmt.Sprintf("route-%08x", n), Host: fmt.Sprintf("h%06x.example", n>>8), Prefix: fmt.Sprintf("/p%08x/", n*31),
			Service: "bench", MaxAttempts: 3, ObjectiveFactor: 1.6, Timeout: 1500e6, ObjectiveExtra: 60e6,
		})
	}
	return c
}

// Guards against an encoding that loses a field, differs between two processes, or is decoded without an index.
func TestEncodingIsStable(t *testing.T) {
	g := gomega.NewWithT(t)
	body, err := Encode(testCatalog(50))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	again, err := Encode(testCatalog(50))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again).To(gomega.Equal(body))
	decoded, err := Decode(body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(decoded.Queues).To(gomega.Equal(testCatalog(50).Queues))
	g.Expect(decoded.index).NotTo(gomega.BeNil())
	_, err = Decode(body[:len(body)/2])
	g.Expect(err).To(gomega.MatchError(ErrMalformed))
}

// Measures the cost of a match and of each step of taking over a version, for docs/CAPACITY.md.
func BenchmarkCatalog(b *testing.B) {
	for _, queues := range []int{40, 1400, 5000} {
		c := testCatalog(queues)
		c.BuildIndex()
		body, _ := Encode(c)
		last := c.Queues[queues-1]
		run := func(name string, f func()) {
			b.Run(fmt.Sprintf("%s/%d", name, queues), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					f()
				}
				b.ReportMetric(float64(len(body)), "body-bytes")
			})
		}
		run("match", func() { c.MatchQueue(last.Host, last.Prefix+"job-1") })
		run("linear", func() { c.searchQueue(last.Host, last.Prefix+"job-1") })
		run("index", c.BuildIndex)
		run("encode", func() { _, _ = Encode(c) })
		run("decode", func() { _, _ = Decode(body) })
	}
}

// Guards against a body of another process that panics the decoder, or a decoded catalog whose index does.
func FuzzDecode(f *testing.F) {
	body, err := Encode(testCatalog(3))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, body []byte) {
		if c, err := Decode(body); err == nil {
			c.MatchQueue("host", "/path")
		}
	})
}
