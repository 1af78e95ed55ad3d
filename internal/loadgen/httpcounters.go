package loadgen

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	counterTimeout  = 5 * time.Second
	maxCounterBytes = 16 << 20
)

// Names of the fields in a stand-in upstream's counters.
const (
	startedField      = "starts"
	startedTwiceField = "double_starts"
)

// HTTPStarts reads the counters of stand-in upstreams: a JSON object with the numbers starts and double_starts at each
// URL. An upstream counts only its own starts, so a task that started once on each of two upstreams is not counted as
// started twice. It implements StartCounter.
type HTTPStarts struct {
	URLs []string
	// Token is the bearer token; empty for none.
	Token string
}

// Starts implements StartCounter. It returns ErrCounters if the counters of an upstream cannot be read.
func (h *HTTPStarts) Starts(ctx context.Context) (Starts, error) {
	var sum Starts
	for _, target := range h.URLs {
		document, err := fetchJSON(ctx, target, h.Token)
		if err != nil {
			return Starts{}, err
		}
		started, hasStarted := sumAtPath(document, startedField)
		startedTwice, hasStartedTwice := sumAtPath(document, startedTwiceField)
		if !hasStarted || !hasStartedTwice {
			return Starts{}, eris.Wrapf(ErrCounters, "%s: the fields %s and %s are required", target, startedField, startedTwiceField)
		}
		sum.Started += started
		sum.StartedTwice += startedTwice
	}
	return sum, nil
}

// HTTPWaste reads the metrics of processes: the JSON object that expvar serves at each URL. It implements WasteCounter.
type HTTPWaste struct {
	URLs []string
	// Token is the bearer token of the operator endpoints.
	Token string
	// Paths are the names of the metrics, with dots between nested levels. The value of an object is the sum of its
	// numbers. Each process must have at least one of the metrics.
	Paths []string
}

// Wasted implements WasteCounter. It returns ErrCounters if the metrics of a process cannot be read.
func (h *HTTPWaste) Wasted(ctx context.Context) (uint64, error) {
	total := uint64(0)
	for _, target := range h.URLs {
		document, err := fetchJSON(ctx, target, h.Token)
		if err != nil {
			return 0, err
		}
		found := false
		for _, path := range h.Paths {
			if n, ok := sumAtPath(document, path); ok {
				total, found = total+n, true
			}
		}
		if !found {
			return 0, eris.Wrapf(ErrCounters, "%s has none of the metrics %s", target, strings.Join(h.Paths, ", "))
		}
	}
	return total, nil
}

// counterClient does not keep connections alive, because counters are read only twice in a run.
var counterClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func fetchJSON(ctx context.Context, target, token string) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, counterTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, eris.Wrap(ErrCounters, err.Error())
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := counterClient.Do(request)
	if err != nil {
		return nil, eris.Wrap(ErrCounters, err.Error())
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, eris.Wrapf(ErrCounters, "%s: unexpected HTTP status %d", target, response.StatusCode)
	}
	var document any
	if err := json.NewDecoder(io.LimitReader(response.Body, maxCounterBytes)).Decode(&document); err != nil {
		return nil, eris.Wrapf(ErrCounters, "%s: %v", target, err)
	}
	return document, nil
}

// sumAtPath returns the sum of the numbers at a dot-separated path and whether the path exists.
func sumAtPath(document any, path string) (uint64, bool) {
	for name := range strings.SplitSeq(path, ".") {
		object, ok := document.(map[string]any)
		if !ok {
			return 0, false
		}
		if document, ok = object[name]; !ok {
			return 0, false
		}
	}
	return sumNumbers(document), true
}

func sumNumbers(value any) uint64 {
	switch v := value.(type) {
	case float64:
		return uint64(max(0, v))
	case map[string]any:
		total := uint64(0)
		for _, inner := range v {
			total += sumNumbers(inner)
		}
		return total
	default:
		return 0
	}
}
