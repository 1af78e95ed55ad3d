package entry

import (
	"context"
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"

	table "github.com/coltsfootspur/coltsfootspur/internal/submission"
)

// postAgentGone handles POST /agents/{id}/gone, by which an operator declares that an agent has ended and will not come
// back. The answer is 204, or 404 when no recovery waits for a run of the agent, or 409 when the agent has a link to an
// entry.
func (e *Entry) postAgentGone(c echo.Context) error {
	id := c.Param("id")
	switch err := e.declareAgentGone(c.Request().Context(), id); {
	case errors.Is(err, table.ErrAgentUnknown):
		return c.String(http.StatusNotFound, err.Error()+"\n")
	case errors.Is(err, table.ErrAgentLinked):
		return c.String(http.StatusConflict, err.Error()+"\n")
	case err != nil:
		return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	return c.NoContent(http.StatusNoContent)
}

// declareAgentGone records the declaration of an operator that an agent will not come back. It returns
// table.ErrAgentUnknown, table.ErrAgentLinked, or an error of call.
func (e *Entry) declareAgentGone(ctx context.Context, id string) (declareErr error) {
	err := e.call(ctx, func(c *control) {
		var actions table.Actions
		if actions, declareErr = c.table.DeclareAgentGone(c.now, id); declareErr == nil {
			c.log.WithField("agent", id).Warn("entry: an operator declared that an agent will not come back; its records count as lost")
			c.performActions(actions)
		}
	})
	if err != nil {
		return err
	}
	return declareErr
}
