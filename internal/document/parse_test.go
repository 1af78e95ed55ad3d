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

const minimalBody = "service: bench\nteam: wax\nkinds:\n  - name: tune\n"

const completeBody = `# every field
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

// Guards against a default that is missing or differs from the documented one.
func TestDefaults(t *testing.T) {
	g := gomega.NewWithT(t)
	s, err := document.Parse([]byte(minimalBody))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s).To(gomega.Equal(&document.Service{
		Name: "bench", Team: "wax", Connections: 64, Deadline: 30 * time.Second, MaxBody: wire.MaxTaskBody,
		Kinds: []document.Kind{{Name: "tune", Deadline: 30 * time.Second, Method: "POST", Path: "/"}},
	}))
	g.Expect(s.AllowsUpstream("any", "anywhere")).To(gomega.BeTrue())
	g.Expect([]int{s.EffectiveSlots(8), s.EffectiveShortSlots(8), s.EffectiveShortSlots(2), s.EffectiveShortSlots(1)}).To(gomega.Equal([]int{8, 2, 1, 0}))
}

// Guards against a value that is decoded into the wrong field.
func TestEveryField(t *testing.T) {
	g := gomega.NewWithT(t)
	s, err := document.Parse([]byte(completeBody))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	shortSlots := 3
	g.Expect(s).To(gomega.Equal(&document.Service{
		Name: "booking", Team: "mkeka", Slots: 8, Connections: 32, HomeRegion: "East Africa", ShortSlots: &shortSlots,
		Deadline: 5 * time.Second, MaxBody: 1000,
		Kinds: []document.Kind{
			{Name: "search", Urgent: true, Idempotent: true, Deadline: 2 * time.Second, Method: "GET", Path: "/search?fast=1", Requires: document.Requires{MemoryMB: 512, Accelerators: 1}},
			{Name: "charge", Deadline: 5 * time.Second, Method: "POST", Path: "/"},
		},
		Upstreams: document.Upstreams{IDs: []string{"Yakutiye-1"}, DataCentres: []string{"Palandöken", "Ilıca"}},
		Quota:     &document.Quota{Rate: 12.5, Burst: 20, MaxRunning: 30},
		Retries:   &document.Retries{Budget: 0.1},
		Ejection:  &document.Ejection{MaxShare: 0.1, Margin: 0.3, ProbeAfter: 5 * time.Second},
		Hedging:   &document.Hedging{Quantile: 0.99, Budget: 0.01},
	}))
	g.Expect(s.AllowsUpstream("Yakutiye-1", "Konaklı")).To(gomega.BeTrue())
	g.Expect(s.AllowsUpstream("x", "Ilıca")).To(gomega.BeTrue())
	g.Expect(s.AllowsUpstream("x", "Konaklı")).To(gomega.BeFalse())
}

// Guards against an invalid document that is accepted or reported without the line, the field and the allowed values.
func TestInvalidDocuments(t *testing.T) {
	cases := []struct {
		name, body, field, allowed string
		line                       int
	}{
		{"unknown field", minimalBody + "retry: {}\n", "retry", "service, team", 5},
		{"unknown nested field", minimalBody + "quota: {rate: 1, rat: 2}\n", "quota.rat", "rate, burst, running", 5},
		{"missing field", "service: a\nkinds: [{name: a}]\n", "team", "1 to 63", 1},
		{"missing rate", minimalBody + "quota: {}\n", "quota.rate", "number from", 5},
		{"repeated field", minimalBody + "team: b\n", "team", "once", 5},
		{"repeated kind", minimalBody + "  - name: tune\n", "kinds[1].name", "different", 5},
		{"no kinds", "service: a\nteam: b\nkinds: []\n", "kinds", "list of 1", 3},
		{"number as text", minimalBody + "slots: \"8\"\n", "slots", "whole number from 0", 5},
		{"text as boolean", minimalBody + "    urgent: yes\n", "kinds[0].urgent", "true or false", 5},
		{"number as name", "service: 12\nteam: b\nkinds: [{name: a}]\n", "service", "1 to 63", 1},
		{"path in a name", "service: ../a\nteam: b\nkinds: [{name: a}]\n", "service", "1 to 63", 1},
		{"number as duration", minimalBody + "deadline: 5\n", "deadline", "250ms", 5},
		{"deadline too long", minimalBody + "deadline: 61s\n", "deadline", "to 1m0s", 5},
		{"out of range", minimalBody + "connections: 0\n", "connections", "from 1", 5},
		{"share out of range", minimalBody + "retries: {budget: 1.1}\n", "retries.budget", "number from", 5},
		{"not a number", minimalBody + "retries: {budget: .nan}\n", "retries.budget", "number from", 5},
		{"boolean as mapping", minimalBody + "hedging: true\n", "hedging", "mapping with quantile", 5},
		{"empty value", minimalBody + "home_region:\n", "home_region", "1 to 100", 5},
		{"method in lower case", minimalBody + "    method: get\n", "kinds[0].method", "GET", 5},
		{"repeated upstream", minimalBody + "upstreams: {ids: [a, b, a]}\n", "upstreams.ids[2]", "once", 5},
		{"as many short slots as slots", minimalBody + "slots: 2\nshort_slots: 2\n", "short_slots", "fewer", 6},
		{"alias", minimalBody + "home_region: &a x\n", "home_region", "plain", 5},
		{"tag", minimalBody + "slots: !!int 3\n", "slots", "plain", 5},
		{"merge key", minimalBody + "<<: {slots: 3}\n", "", "plain", 5},
		{"syntax error", minimalBody + "slots: [\n", "", "", 5},
		{"too many tokens", strings.Repeat("a: b\n", 20_000), "", "16000", 0},
		{"two documents", minimalBody + "---\n" + minimalBody, "", "exactly one", 6},
		{"empty", "# nothing\n", "", "mapping", 0},
		{"list instead of mapping", "- a\n", "", "mapping", 1},
		{"control character", minimalBody + "team: \x01\n", "", "text", 5},
		{"not UTF-8", "\xff", "", "UTF-8", 0},
		{"too large", minimalBody + strings.Repeat("#", wire.MaxDocument), "", "262144", 0},
		{"flow nesting", strings.Repeat("[", 10_000), "", "32 levels", 1},
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

// Guards against a parser that stops at the first problem, so that operators have to fix problems one at a time.
func TestAllProblemsAreReported(t *testing.T) {
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
	_, err = document.Parse([]byte(minimalBody + many.String()))
	g.Expect(err.Error()).To(gomega.HaveSuffix("and 150 more problems"))
}

// Guards against a field of the schema that differs from its row in the operators' documentation.
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

// Guards against a body that makes the parser panic or hang, or is accepted although the document is incomplete.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		minimalBody, completeBody, "", "a: [", "<<: *a", "? a\n: b", "kinds: [{name: a, requires: {}}]", "a: &b [*b]", "- - - a", "%YAML 1.2\n---\na: 1",
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
