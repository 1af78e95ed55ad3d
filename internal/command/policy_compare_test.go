package command

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/dispatch/policysim"
)

// Guards against a comparison that leaves out a policy or prints something other than JSON.
func TestPolicyCompare(t *testing.T) {
	g := gomega.NewWithT(t)
	var out, errors bytes.Buffer
	args := []string{
		"policy-compare", "--deployment", "wax", "--scenario", "load-0.7", "--runs", "1", "--length", "20s", "--json", "true",
	}
	emptyEnv := func(string) (string, bool) { return "", false }
	commands, groups := subcommands()
	code := run(context.Background(), args, streams{out: &out, err: &errors}, emptyEnv, commands, groups)
	g.Expect(code).To(gomega.Equal(ExitOK), errors.String())
	var rows []policysim.Row
	g.Expect(json.Unmarshal(out.Bytes(), &rows)).To(gomega.Succeed())
	g.Expect(rows).To(gomega.HaveLen(len(policysim.Policies())))
	for _, r := range rows {
		g.Expect(r.Figures.Jobs).To(gomega.BeNumerically(">", 0), r.Policy)
	}
}
