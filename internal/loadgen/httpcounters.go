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

// Fields of a stand-in upstream's counters.
const (
	startedField      = "starts"
	startedTwiceField = "double_starts"
)

// HTTPStarts reads the counters of stand-in upstreams: a JSON object with the numbers starts and double_starts at each
// URL. An upstream does not see the starts at another one, so a task that started once at each of two is not counted as
// started twice. It implements StartCounter.
type HTTPStarts struct {
	URLs []string
	// Token is the bearer token; empty for none.
	Token string
}

// Starts implements StartCounter. It returns ErrCounters.
func (h *HTTPStarts) Starts(ctx context.Context) (Starts, error) {
	var sum Starts
	for _, target := range h.URLs {
		document, err := fetchJSON(ctx, target, h.Token)
		if err != nil {
			return Starts{}, err
		}
		started, ok := sumAt(document, startedField)
		twice, okTwice := sumAt(document, startedTwiceField)
		if !ok || !okTwice {
			return Starts{}, eris.Wrapf(ErrCounters, "%s has no %s and %s", target, startedField, startedTwiceField)
		}
		sum.Started += started
		sum.StartedTwice += twice
	}
	return sum, nil
}

// HTTPWaste reads the metrics of processes: the JSON of expvar at each URL. It implements WasteCounter.
type HTTPWaste struct {
	URLs []string
	// Token is the bearer token of the operator endpoints.
	Token string
	// Paths name the metrics, with a dot between the levels. A path that leads to an object stands for the sum of its
	// numbers. Each process must have at least one of them.
	Paths []string
}

// Wasted implements WasteCounter. It returns ErrCounters.
func (h *HTTPWaste) Wasted(ctx context.Context) (uint64, error) {
	total := uint64(0)
	for _, target := range h.URLs {
		document, err := fetchJSON(ctx, target, h.Token)
		if err != nil {
			return 0, err
		}
		found := false
		for _, path := range h.Paths {
			if n, ok := sumAt(document, path); ok {
				total, found = total+n, true
			}
		}
		if !found {
			return 0, eris.Wrapf(ErrCounters, "%s has none of the metrics %s", target, strings.Join(h.Paths, ", "))
		}
	}
	return total, nil
}

// counterClient keeps no connection, because counters are read twice in a run.
var counterClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func fetchJSON(ctx context.Context, target, token string) (any, error) {
	ctx, release := context.WithTimeout(ctx, counterTimeout)
	defer release()
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
		return nil, eris.Wrapf(ErrCounters, "%s answered with status %d", target, response.StatusCode)
	}
	var document any
	if err := json.NewDecoder(io.LimitReader(response.Body, maxCounterBytes)).Decode(&document); err != nil {
		return nil, eris.Wrapf(ErrCounters, "%s: %v", target, err)
	}
	return document, nil
}

// sumAt returns the sum of the numbers at a path and whether the path exists.
func sumAt(document any, path string) (uint64, bool) {
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
