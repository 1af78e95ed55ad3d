package evacuation

import (
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"
)

// Limits of the requests that are accepted. They bound the size of the message that all processes exchange.
const (
	maxDataCentres = 64
	maxNameBytes   = 128
)

// ErrInvalidRequest means that a request names no data centre of the deployment or that its value is not a JSON object.
var ErrInvalidRequest = eris.New("invalid request to evacuate a data centre")

// ValidRequests returns the data centres of the valid requests, sorted, and an ErrInvalidRequest for each other one. values maps
// the name of the data centre in a request to the value of the request, which has to be a JSON object. known holds the data
// centres of the deployment; if it is empty, every name is valid, because the settings name none. inForce holds the data centres
// that are evacuated: a request for one of them that was overwritten with an invalid value still holds, because only its removal
// ends it.
func ValidRequests(values map[string][]byte, known, inForce []string) (dataCentres []string, invalid map[string]error) {
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	slices.Sort(names)
	invalid = make(map[string]error)
	for _, name := range names {
		if err := checkRequest(name, values[name], known); err != nil {
			invalid[name] = err
			if !slices.Contains(inForce, name) {
				continue
			}
		}
		if len(dataCentres) == maxDataCentres {
			invalid[name] = eris.Wrapf(ErrInvalidRequest, "there are more than %d requests", maxDataCentres)
			continue
		}
		dataCentres = append(dataCentres, name)
	}
	return dataCentres, invalid
}

func checkRequest(name string, value []byte, known []string) error {
	var object map[string]json.RawMessage
	switch {
	case name == "":
		return eris.Wrap(ErrInvalidRequest, "the name is empty")
	case len(name) > maxNameBytes:
		return eris.Wrapf(ErrInvalidRequest, "the name has more than %d bytes", maxNameBytes)
	case len(known) > 0 && !slices.Contains(known, name):
		return eris.Wrap(ErrInvalidRequest, "the settings name no such data centre")
	}
	if err := json.Unmarshal(value, &object); err != nil || object == nil {
		return eris.Wrap(ErrInvalidRequest, "the value is not a JSON object")
	}
	return nil
}
