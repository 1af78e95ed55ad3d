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

// maxOperatorBytes bounds what is read from an operator endpoint.
const maxOperatorBytes = 256 << 20

// errOperator is returned when an operator endpoint cannot be read.
var errOperator = eris.New("operator endpoint cannot be read")

// operator reads the operator endpoints of one process.
type operator struct {
	address, token string
	timeout        time.Duration
}

func (o *operator) register(set *settings.Set) {
	set.String(&o.address, "admin-address", "", "host:port or URL of the operator endpoints of the process", true)
	set.String(&o.token, "admin-token", "", "bearer token of the operator endpoints", false)
	set.Duration(&o.timeout, "timeout", 5*time.Second, 10*time.Millisecond, time.Minute, "longest wait for each answer")
}

// get returns the status and the body of an endpoint. It returns errOperator when there is no whole answer.
func (o *operator) get(ctx context.Context, path string) (status int, body []byte, err error) {
	return o.call(ctx, http.MethodGet, path)
}

// call makes a request without a body and returns what get returns.
func (o *operator) call(ctx context.Context, method, path string) (status int, body []byte, err error) {
	ctx, release := context.WithTimeout(ctx, o.timeout)
	defer release()
	request, err := http.NewRequestWithContext(ctx, method, baseURL(o.address)+path, nil)
	if err != nil {
		return 0, nil, eris.Wrap(errOperator, err.Error())
	}
	if o.token != "" {
		request.Header.Set("Authorization", "Bearer "+o.token)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, eris.Wrap(errOperator, err.Error())
	}
	defer response.Body.Close()
	body, err = io.ReadAll(io.LimitReader(response.Body, maxOperatorBytes+1))
	if err != nil {
		return 0, nil, eris.Wrap(errOperator, err.Error())
	}
	if len(body) > maxOperatorBytes {
		return 0, nil, eris.Wrapf(errOperator, "%s is larger than %d bytes", path, maxOperatorBytes)
	}
	return response.StatusCode, body, nil
}

// decode reads the JSON of an endpoint into target. It returns errOperator.
func (o *operator) decode(ctx context.Context, path string, target any) error {
	status, body, err := o.get(ctx, path)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return eris.Wrapf(errOperator, "%s answered with status %d: %.200s", path, status, body)
	}
	if err := json.Unmarshal(body, target); err != nil {
		return eris.Wrapf(errOperator, "%s: %v", path, err)
	}
	return nil
}
