package command

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"
)

// agentGoneCommand returns the subcommand by which an operator ends the wait for an agent that will not come back.
func agentGoneCommand() *subcommand {
	c := newSubcommand("agent-gone", "state to an entry that an agent is gone for good, so that keys which wait for it can run")
	o := &operator{}
	o.register(c.settings)
	var id string
	c.settings.String(&id, "agent", "", "id of the agent", true)
	c.run = func(ctx context.Context, std streams) int { return agentGone(ctx, o, id, std) }
	return c
}

func agentGone(ctx context.Context, o *operator, id string, std streams) int {
	status, body, err := o.call(ctx, http.MethodPost, "/agents/"+url.PathEscape(id)+"/gone")
	if err == nil && status != http.StatusNoContent {
		err = eris.Wrapf(errOperator, "the entry answered with status %d: %.200s", status, body)
	}
	if err != nil {
		return reportError(std, err, ExitFailure)
	}
	fmt.Fprintf(std.out, "agent %s counts as gone\n", id)
	return ExitOK
}
