package command

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"
)

// newAgentGoneCommand returns the subcommand by which an operator declares that an agent will not come back, which ends
// the wait for it.
func newAgentGoneCommand() *subcommand {
	c := newSubcommand("agent-gone", "declare to an entry that an agent is gone for good, so that keys that wait for it can run")
	o := &operatorClient{}
	o.register(c.settings)
	var id string
	c.settings.String(&id, "agent", "", "id of the agent", true)
	c.run = func(ctx context.Context, std streams) int { return markAgentGone(ctx, o, id, std) }
	return c
}

func markAgentGone(ctx context.Context, o *operatorClient, id string, std streams) int {
	status, body, err := o.call(ctx, http.MethodPost, "/agents/"+url.PathEscape(id)+"/gone")
	if err == nil && status != http.StatusNoContent {
		err = eris.Wrapf(errOperatorEndpoint, "the entry answered with status %d: %.200s", status, body)
	}
	if err != nil {
		return reportError(std, err, ExitFailure)
	}
	fmt.Fprintf(std.out, "agent %s is marked as gone\n", id)
	return ExitOK
}
