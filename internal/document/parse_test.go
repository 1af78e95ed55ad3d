package document_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/document"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

const minimal = "service: bench\nteam: wax\nkinds:\n  - name: tune\n"

const complete = `# every field
service: booking
team: mkeka
kinds:
  - name: search
    urgent: true
    idempotent: true
    deadline: 2s
    method: GET
    path: /search?fast=1
    long: false
    requires: {memory_mb: 512, accelerators: 1}
  - name: charge
upstreams:
  ids: [Yakutiye-1]
  data_centres: ["Palandöken", Ilıca]
slots: 8
connections: 32
home_region: East Africa
quota: {rate: 12.5, burst: 20, running: 30}
retries: {}
ejection: {max_share: 0.1}
hedging: {quantile: 0.99, budget: 0.01}
short_slots: 3
deadline: 5s
max_body: 1000
`

// Guards against a default that is lost or differs from the documented one.
func TestDefaults(t *testing.T) {
	g := gomega.NewWithT(t)
	s, err := document.Parse([]byte(minimal))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s).To(gomega.Equal(&document.Service{
		Name: "bench", Team: "wax", Connections: 64, Deadline: 30 * time.Second, MaxBody: wire.MaxTaskBody,
		Kinds: []document.Kind{{Name: "tune", Deadline: 30 * time.Second, Method: "POST", Path: "/"}},
	}))
	g.Expect(s.Allows("any", "anywhere")).To(gomega.BeTrue())
	g.Expect([]int{s.SlotsOf(8), s.ShortSlotsOf(8), s.ShortSlotsOf(2), s.ShortSlotsOf(1)}).To(gomega.Equal([]int{8, 2, 1, 0}))
}

// Guards against a field that is parsed into the wrong place.
func TestEveryField(t *testing.T) {
	g := gomega.NewWithT(t)
	s, err := document.Parse([]byte(complete))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	three := 3
	g.Expect(s).To(gomega.Equal(&document.Service{
		Name: "booking", Team: "mkeka", Slots: 8, Connections: 32, HomeRegion: "East Africa", ShortSlots: &three,
		Deadline: 5 * time.Second, MaxBody: 1000,
		Kinds: []document.Kind{
			{Name: "search", Urgent: true, Idempotent: true, Deadline: 2 * time.Second, Method: "GET", Path: "/search?fast=1", Requires: document.Requires{MemoryMB: 512, Accelerators: 1}},
			{Name: "charge", Deadline: 5 * time.Second, Method: "POST", Path: "/"},
		},
		Upstreams: document.Upstreams{IDs: []string{"Yakutiye-1"}, DataCentres: []string{"Palandöken", "Ilıca"}},
		Quota:     &document.Quota{Rate: 12.5, Burst: 20, Running: 30},
		Retries:   &document.Retries{Budget: 0.1},
		Ejection:  &document.Ejection{MaxShare: 0.1, Margin: 0.3, ProbeAfter: 5 * time.Second},
		Hedging:   &document.Hedging{Quantile: 0.99, Budget: 0.01},
	}))
	g.Expect(s.Allows("Yakutiye-1", "Konaklı")).To(gomega.BeTrue())
	g.Expect(s.Allows("x", "Ilıca")).To(gomega.BeTrue())
	g.Expect(s.Allows("x", "Konaklı")).To(gomega.BeFalse())
}

// Guards against a mistake that is accepted, or reported without line, field and what is allowed.
func TestMistakes(t *testing.T) {
	cases := []struct {
		name, body, field, allowed string
		line                       int
	}{
		{"unknown field", minimal + "retry: {}\n", "retry", "service, team", 5},
		{"unknown nested field", minimal + "quota: {rate: 1, rat: 2}\n", "quota.rat", "rate, burst, running", 5},
		{"missing field", "service: a\nkinds: [{name: a}]\n", "team", "1 to 63", 1},
		{"missing rate", minimal + "quota: {}\n", "quota.rate", "number from", 5},
		{"repeated field", minimal + "team: b\n", "team", "once", 5},
		{"repeated kind", minimal + "  - name: tune\n", "kinds[1].name", "different", 5},
		{"no kinds", "service: a\nteam: b\nkinds: []\n", "kinds", "list of 1", 3},
		{"number as text", minimal + "slots: \"8\"\n", "slots", "whole number from 0", 5},
		{"text as switch", minimal + "    urgent: yes\n", "kinds[0].urgent", "true or false", 5},
		{"number as name", "service: 12\nteam: b\nkinds: [{name: a}]\n", "service", "1 to 63", 1},
		{"path in a name", "service: ../a\nteam: b\nkinds: [{name: a}]\n", "service", "1 to 63", 1},
		{"number as duration", minimal + "deadline: 5\n", "deadline", "250ms", 5},
		{"deadline too long", minimal + "deadline: 61s\n", "deadline", "to 1m0s", 5},
		{"out of range", minimal + "connections: 0\n", "connections", "from 1", 5},
		{"share out of range", minimal + "retries: {budget: 1.1}\n", "retries.budget", "number from", 5},
		{"not a number", minimal + "retries: {budget: .nan}\n", "retries.budget", "number from", 5},
		{"guard as switch", minimal + "hedging: true\n", "hedging", "mapping with quantile", 5},
		{"empty value", minimal + "home_region:\n", "home_region", "1 to 100", 5},
		{"method", minimal + "    method: get\n", "kinds[0].method", "GET", 5},
		{"repeated upstream", minimal + "upstreams: {ids: [a, b, a]}\n", "upstreams.ids[2]", "once", 5},
		{"short slots", minimal + "slots: 2\nshort_slots: 2\n", "short_slots", "fewer", 6},
		{"alias", minimal + "home_region: &a x\n", "home_region", "plain", 5},
		{"tag", minimal + "slots: !!int 3\n", "slots", "plain", 5},
		{"merge", minimal + "<<: {slots: 3}\n", "", "plain", 5},
		{"syntax", minimal + "slots: [\n", "", "", 5},
		{"too many parts", strings.Repeat("a: b\n", 20_000), "", "16000", 0},
		{"two documents", minimal + "---\n" + minimal, "", "exactly one", 6},
		{"empty", "# nothing\n", "", "mapping", 0},
		{"list", "- a\n", "", "mapping", 1},
		{"control character", minimal + "team: \x01\n", "", "text", 5},
		{"not UTF-8", "\xff", "", "UTF-8", 0},
		{"too large", minimal + strings.Repeat("#", wire.MaxDocument), "", "262144", 0},
		{"nesting", strings.Repeat("[", 10_000), "", "32 levels", 1},
		{"block nesting", strings.Repeat("- ", 5_000), "", "32 levels", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, err := document.Parse([]byte(c.body))
			g.Expect(errors.Is(err, document.ErrInvalid)).To(gomega.BeTrue())
			var invalid *document.InvalidError
			g.Expect(errors.As(err, &invalid)).To(gomega.BeTrue())
			g.Expect(invalid.Problems).To(gomega.HaveLen(1), err.Error())
			p := invalid.Problems[0]
			g.Expect([]any{p.Field, p.Line}).To(gomega.Equal([]any{c.field, c.line}), err.Error())
			g.Expect(p.Allowed).To(gomega.ContainSubstring(c.allowed))
		})
	}
}

// Guards against a parser that stops at the first mistake, so that operators need one round for each.
func TestAllMistakesAreReported(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := document.Parse([]byte("service: a b\nkinds:\n  - name: x\n    deadline: 1h\n    colour: red\nslots: -1\n"))
	g.Expect(strings.Split(err.Error(), "\n")).To(gomega.HaveExactElements(
		gomega.HavePrefix("line 1, column 1: team: is missing; allowed: "),
		gomega.HavePrefix(`line 1, column 10: service: "a b" is not allowed; allowed: `),
		gomega.HavePrefix(`line 4, column 15: kinds[0].deadline: "1h" is not allowed; allowed: duration`),
		gomega.HavePrefix("line 5, column 5: kinds[0].colour: is not a known field; allowed: name, urgent"),
		gomega.HavePrefix(`line 6, column 8: slots: "-1" is not allowed; allowed: whole number from 0`),
	))
	var many strings.Builder
	for i := range 200 {
		fmt.Fprintf(&many, "field%d: 1\n", i)
	}
	_, err = document.Parse([]byte(minimal + many.String()))
	g.Expect(err.Error()).To(gomega.HaveSuffix("and 150 more problems"))
}

// Guards against a schema that the operators' page does not describe.
func TestFieldsAreDocumented(t *testing.T) {
	g := gomega.NewWithT(t)
	page, err := os.ReadFile("../../docs/operators.md")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, f := range document.Fields() {
		g.Expect(f.Meaning).NotTo(gomega.BeEmpty(), f.Path)
		row := fmt.Sprintf("| `%s` | %s | %s | %s | %s |", f.Path, f.Meaning, f.Unit, f.Default, f.Allowed)
		g.Expect(string(page)).To(gomega.ContainSubstring(row))
	}
}

// Guards against a body that makes the parser panic, hang or accept what it cannot mean.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		minimal, complete, "", "a: [", "<<: *a", "? a\n: b", "kinds: [{name: a, requires: {}}]", "a: &b [*b]", "- - - a", "%YAML 1.2\n---\na: 1",
		"service: |\n  a\n", "a: !!binary x", "{a: {b: {c: d}}}", "\"\\u0000\": 1", "a: 'b\n\n  c'", "a:\n- b\n -c", ": a", "-", "?", "{", "}", "a: >-\n\n x",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		s, err := document.Parse(body)
		if err != nil {
			var invalid *document.InvalidError
			if !errors.As(err, &invalid) || len(invalid.Problems) == 0 {
				t.Fatalf("error without a problem: %v", err)
			}
			return
		}
		if s.Name == "" || s.Team == "" || len(s.Kinds) == 0 || s.Deadline <= 0 || s.Deadline > wire.MaxDeadline {
			t.Fatalf("accepted an incomplete document: %+v", s)
		}
		for _, k := range s.Kinds {
			if k.Name == "" || k.Deadline <= 0 || !strings.HasPrefix(k.Path, "/") {
				t.Fatalf("accepted an incomplete kind: %+v", k)
			}
		}
	})
}
