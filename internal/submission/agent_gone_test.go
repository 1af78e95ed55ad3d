package submission_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/submission"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Guards against keys that keep waiting for an agent that an operator has declared gone, against a key that runs
// although that agent may have started it before, and against a declaration that is accepted for an agent with a link.
func TestStatedGoneAgentIsWaitedForNoMore(t *testing.T) {
	g := gomega.NewWithT(t)
	table, near, _ := newTableInRecovery(g)
	table.RecordsReceived(epoch, near, recordsOf())
	_, err := table.DeclareAgentGone(epoch, "near")
	g.Expect(err).To(gomega.MatchError(submission.ErrAgentLinked))
	_, err = table.DeclareAgentGone(epoch, "other")
	g.Expect(err).To(gomega.MatchError(submission.ErrAgentUnknown))

	declaredAt := epoch.Add(time.Minute)
	later := declaredAt.Add(10 * time.Second)
	older, younger := inheritedSubmission(0), inheritedSubmission(1)
	older.CreatedAt, older.Deadline = declaredAt.Add(-time.Second), later.Add(time.Second)
	younger.CreatedAt, younger.Deadline = later, later.Add(time.Second)
	table.RosterReceived(declaredAt, activeMember("a", 1), &wire.AgentRoster{Agents: []wire.AgentPresence{{ID: "far", Incarnation: 3, SilentMillis: 1}}})
	g.Expect(table.Submit(later, younger).Kind).NotTo(gomega.Equal(submission.Run))
	actions, err := table.DeclareAgentGone(declaredAt, "far")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(actions.Roster.Agents).To(gomega.HaveLen(1))
	g.Expect(actions.Roster.Agents[0].Gone).To(gomega.BeTrue(), "the roster informs the other entries")
	g.Expect(table.Submit(later, younger).Kind).To(gomega.Equal(submission.Run))
	refused := table.Submit(later, older)
	g.Expect(refused.Kind).To(gomega.Equal(submission.Refuse))
	g.Expect(refused.Answer.Reason).To(gomega.Equal(wire.ReasonRecovering))
	_, err = table.DeclareAgentGone(later, "far")
	g.Expect(err).To(gomega.MatchError(submission.ErrAgentUnknown))
}
