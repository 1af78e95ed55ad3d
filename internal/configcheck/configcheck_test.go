package configcheck_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/catalog"
	"github.com/coltsfootspur/coltsfootspur/internal/configcheck"
)

func sound(name, host, prefix string) catalog.Queue {
	return catalog.Queue{
		Name: name, Host: host, Prefix: prefix, Service: "s", MaxAttempts: 2, Timeout: 2 * time.Second, ObjectiveFactor: 1.6, ObjectiveExtra: 60 * time.Millisecond,
	}
}

// Guards against faults that are not found, and against findings in a sound configuration.
func TestFindings(t *testing.T) {
	with := func(change func(q *catalog.Queue)) []catalog.Queue {
		q := sound("a", "", "/a")
		change(&q)
		return []catalog.Queue{q}
	}
	for _, c := range []struct {
		name     string
		queues   []catalog.Queue
		attempts int
		reason   string // part of the one finding; empty if there is none
		where    string
	}{
		{"sound", []catalog.Queue{sound("a", "", "/a"), sound("b", "", "/a/b"), sound("c", "x", "/c"), sound("d", "", "")}, 1, "", ""},
		{"same prefix twice", []catalog.Queue{sound("a", "", "/a"), sound("b", "", "/a")}, 1, `route 0 "a" takes all`, `route 1 "b"`},
		{"any host before one host", []catalog.Queue{sound("a", "", "/a"), sound("b", "x", "/a")}, 1, `route 0 "a" takes all`, `route 1 "b"`},
		{"slash before the empty prefix", []catalog.Queue{sound("a", "", "/"), sound("b", "", "")}, 1, `route 0 "a" takes all`, `route 1 "b"`},
		{"prefix without a slash", []catalog.Queue{sound("a", "", "a")}, 1, "does not begin with a slash", `route 0 "a"`},
		{"host with a port", []catalog.Queue{sound("a", "x:80", "/a")}, 1, "has a port", `route 0 "a"`},
		{"timeout below the objective", with(func(q *catalog.Queue) { q.Timeout = 50 * time.Millisecond }), 1, "TimeoutMs (50ms)", `route 0 "a"`},
		{"no attempts", with(func(*catalog.Queue) {}), 0, "MaxAttempts is 0", `route 0 "a"`},
		{"objective out of reach", with(func(q *catalog.Queue) { q.ObjectiveFactor = 0.5 }), 1, "more than 180ms misses", `route 0 "a"`},
		{"negative", with(func(q *catalog.Queue) { q.Timeout = -1 }), 1, "negative", `route 0 "a"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			config := &catalog.Catalog{Queues: c.queues, Services: []catalog.Service{{Name: "s"}}}
			attempts := make([]int, len(c.queues))
			for i := range attempts {
				attempts[i] = c.attempts
			}
			for range 2 { // without and with the index of the matcher
				findings := configcheck.Check(config, attempts)
				if c.reason == "" {
					g.Expect(findings).To(gomega.BeEmpty())
				} else {
					g.Expect(findings).To(gomega.HaveLen(1))
					g.Expect(findings[0].Reason).To(gomega.ContainSubstring(c.reason))
					g.Expect(findings[0].Where).To(gomega.Equal(c.where))
				}
				config.BuildIndex()
			}
		})
	}
	g := gomega.NewWithT(t)
	unserved := &catalog.Catalog{Queues: []catalog.Queue{sound("a", "", "/a")}, Services: []catalog.Service{{Name: "other"}}}
	findings := configcheck.Check(unserved, nil)
	g.Expect(findings).To(gomega.HaveLen(2))
	g.Expect(findings[1]).To(gomega.Equal(configcheck.Finding{Where: `service 0 "other"`, Reason: "no route names it"}))
}

// Guards against differences that are not shown.
func TestDifferences(t *testing.T) {
	g := gomega.NewWithT(t)
	changed := sound("b", "", "/b")
	changed.Priority, changed.Timeout = 2, time.Second
	before := &catalog.Catalog{Queues: []catalog.Queue{sound("a", "", "/a"), sound("b", "", "/b")}, Services: []catalog.Service{{Name: "s"}}}
	after := &catalog.Catalog{Queues: []catalog.Queue{changed, sound("c", "", "/c")}, Services: []catalog.Service{{Name: "s", Guarded: true}}}
	g.Expect(configcheck.Compare(before, after, configcheck.FieldNames{"Timeout": "TimeoutMs"})).To(gomega.Equal([]configcheck.Change{
		{Kind: "removed", Where: `route "a"`},
		{Kind: "changed", Where: `route "b"`, Detail: "Priority 2, was 0; TimeoutMs 1000, was 2000"},
		{Kind: "added", Where: `route "c"`},
		{Kind: "changed", Where: `service "s"`, Detail: "Guarded true, was false"},
	}))
	g.Expect(configcheck.Compare(after, after, nil)).To(gomega.BeEmpty())
}
