package e2e_test

import (
	"context"
	"net/http"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// remove cancels a job.
func remove(ctx context.Context, e *entry, key string) (reply, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete,
		"http://"+e.callers+"/v1/services/"+service+"/jobs/"+key, nil)
	if err != nil {
		return reply{}, err
	}
	return exchange(request)
}

// storeFaults replaces the faults of the store; none make it healthy.
func (c *cluster) storeFaults(faults map[string]any) {
	c.t.Helper()
	if faults == nil {
		faults = map[string]any{}
	}
	c.send(http.MethodPut, c.storeURL+"/fault", faults)
}

func (c *cluster) storeAction(name string) {
	c.t.Helper()
	c.send(http.MethodPost, c.storeURL+"/fault/"+name, nil)
}

// agentState is what the tests read from the dump of an agent.
type agentState struct {
	Leaving   bool              `json:"leaving"`
	List      *wire.EntryList   `json:"list"`
	Documents map[string]uint64 `json:"documents"`
}

func (c *cluster) agentStateOf(a *agent) (s agentState, err error) {
	err = c.getJSON("http://"+a.admin+"/dump", &s)
	return s, err
}
