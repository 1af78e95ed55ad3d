package entry

import (
	"context"
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"

	table "github.com/coltsfootspur/coltsfootspur/internal/submission"
)

// agentGone handles POST /agents/{id}/gone: an operator vouches that the agent is over and will not go on. It answers 204, 404
// when no run of the agent is waited for, and 409 when the agent has a link to an entry.
func (e *Entry) agentGone(c echo.Context) error {
	id := c.Param("id")
	switch err := e.stateAgentGone(c.Request().Context(), id); {
	case errors.Is(err, table.ErrAgentUnknown):
		return c.String(http.StatusNotFound, err.Error()+"\n")
	case errors.Is(err, table.ErrAgentLinked):
		return c.String(http.StatusConflict, err.Error()+"\n")
	case err != nil:
		return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	return c.NoContent(http.StatusNoContent)
}

func (e *Entry) stateAgentGone(ctx context.Context, id string) (stated error) {
	err := e.call(ctx, func(c *control) {
		var actions table.Actions
		if actions, stated = c.table.AgentStatedGone(c.now, id); stated == nil {
			c.log.WithField("agent", id).Warn("entry: an operator vouches that an agent is gone for good")
			c.perform(actions)
		}
	})
	if err != nil {
		return err
	}
	return stated
}
