package e2e_test

import (
	"context"
	"net/http"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// cancelJob cancels a job of defaultService.
func cancelJob(ctx context.Context, e *entry, key string) (reply, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete,
		"http://"+e.callerAddress+"/v1/services/"+defaultService+"/jobs/"+key, nil)
	if err != nil {
		return reply{}, err
	}
	return roundTrip(request)
}

// setStoreFaults replaces the faults of the store; a nil or empty map makes it healthy.
func (c *cluster) setStoreFaults(faults map[string]any) {
	c.t.Helper()
	if faults == nil {
		faults = map[string]any{}
	}
	c.sendJSON(http.MethodPut, c.storeURL+"/fault", faults)
}

func (c *cluster) triggerStoreAction(name string) {
	c.t.Helper()
	c.sendJSON(http.MethodPost, c.storeURL+"/fault/"+name, nil)
}

// agentState is the part of an agent's dump that the tests read.
type agentState struct {
	Leaving   bool              `json:"leaving"`
	List      *wire.EntryList   `json:"list"`
	Documents map[string]uint64 `json:"documents"`
}

func (c *cluster) agentStateOf(a *agent) (s agentState, err error) {
	err = c.getJSON("http://"+a.adminAddress+"/dump", &s)
	return s, err
}
