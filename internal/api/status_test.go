package api_test

import (
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/api"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

var (
	reasonRow  = regexp.MustCompile("^\\| (`[a-z_]+`(?:, `[a-z_]+`)*) \\| ([0-9, ]+) \\| .* \\| ?([0-9]*) ?\\|$")
	sectionRow = regexp.MustCompile("^\\| \\*\\*`([a-z_]+)`\\*\\*")
)

// Guards against a table of statuses in the documentation for callers that differs from what entries send.
func TestDocumentedStatuses(t *testing.T) {
	g := gomega.NewWithT(t)
	text, err := os.ReadFile("../../docs/callers.md")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	outcome, rows := api.Outcome(""), 0
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		if section := sectionRow.FindStringSubmatch(line); section != nil {
			outcome = api.Outcome(section[1])
		}
		row := reasonRow.FindStringSubmatch(line)
		if row == nil {
			continue
		}
		for name := range strings.SplitSeq(strings.ReplaceAll(row[1], "`", ""), ", ") {
			rows++
			reason := wire.Reason(name)
			statuses := strings.Split(row[2], ", ")
			g.Expect(statuses).To(gomega.ContainElement(strconv.Itoa(api.Status(outcome, reason))), line)
			g.Expect(api.RetryAfter(outcome, reason, 0)).To(gomega.Equal(row[3]), line)
		}
	}
	const reasons = 25 // every reason; deadline and cancelled occur with both outcomes
	g.Expect(rows).To(gomega.Equal(reasons))
}
