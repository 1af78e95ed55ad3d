package command

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/settings"
)

// maxOperatorResponseBytes is the largest response body that is read from an operator endpoint.
const maxOperatorResponseBytes = 256 << 20

// errOperatorEndpoint means that an operator endpoint gave no usable response.
var errOperatorEndpoint = eris.New("operator endpoint cannot be read")

// operatorClient calls the operator endpoints of one process.
type operatorClient struct {
	address, token string
	timeout        time.Duration
}

func (o *operatorClient) register(set *settings.Set) {
	set.String(&o.address, "admin-address", "", "host:port or URL of the operator endpoints of the process", true)
	set.String(&o.token, "admin-token", "", "bearer token of the operator endpoints", false)
	set.Duration(&o.timeout, "timeout", 5*time.Second, 10*time.Millisecond, time.Minute, "longest wait for each answer")
}

// get returns the status and the body of an endpoint. It returns errOperatorEndpoint if there is no complete response within
// the timeout, or a body of more than maxOperatorResponseBytes.
func (o *operatorClient) get(ctx context.Context, path string) (status int, body []byte, err error) {
	return o.call(ctx, http.MethodGet, path)
}

// call sends a request without a body. Its results and errors are those of get.
func (o *operatorClient) call(ctx context.Context, method, path string) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, baseURL(o.address)+path, nil)
	if err != nil {
		return 0, nil, eris.Wrap(errOperatorEndpoint, err.Error())
	}
	if o.token != "" {
		request.Header.Set("Authorization", "Bearer "+o.token)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, eris.Wrap(errOperatorEndpoint, err.Error())
	}
	defer response.Body.Close()
	body, err = io.ReadAll(io.LimitReader(response.Body, maxOperatorResponseBytes+1))
	if err != nil {
		return 0, nil, eris.Wrap(errOperatorEndpoint, err.Error())
	}
	if len(body) > maxOperatorResponseBytes {
		return 0, nil, eris.Wrapf(errOperatorEndpoint, "%s is larger than %d bytes", path, maxOperatorResponseBytes)
	}
	return response.StatusCode, body, nil
}

// getJSON decodes the JSON of an endpoint into target. It returns errOperatorEndpoint also for a status other than 200 and
// for invalid JSON.
func (o *operatorClient) getJSON(ctx context.Context, path string, target any) error {
	status, body, err := o.get(ctx, path)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return eris.Wrapf(errOperatorEndpoint, "%s answered with status %d: %.200s", path, status, body)
	}
	if err := json.Unmarshal(body, target); err != nil {
		return eris.Wrapf(errOperatorEndpoint, "%s: %v", path, err)
	}
	return nil
}
