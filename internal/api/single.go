package api

import (
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// ParseDeadline returns the deadline of HeaderDeadline in milliseconds; 0 for an empty value. It returns a *RequestError.
func ParseDeadline(value string) (uint32, error) {
	if value == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(value, 10, 32)
	if err != nil || n == 0 || n > uint64(wire.MaxDeadline.Milliseconds()) {
		return 0, invalid("%s: must be a whole number from 1 to %d", HeaderDeadline, wire.MaxDeadline.Milliseconds())
	}
	return uint32(n), nil
}

// ReadError converts the error of reading a body that is limited to limit bytes. It returns a *RequestError.
func ReadError(err error, limit int) error {
	var tooMany *http.MaxBytesError
	if errors.As(err, &tooMany) {
		return tooLarge("the body is larger than %d bytes", limit)
	}
	return invalid("the body cannot be read")
}

// notPassed lists header fields of a single request that are meant for the entry or for the connection.
var notPassed = map[string]bool{
	"Authorization": true, "Connection": true, "Content-Length": true, "Expect": true, "Host": true,
	"Idempotency-Key": true, "Cancel-On-Close": true, "Keep-Alive": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Accept-Encoding": true,
}

const ownPrefix = "Coltsfootspur-"

// PassedHeaders returns the header fields of a single request that go to the upstream, sorted by name.
func PassedHeaders(h http.Header) Headers {
	var passed Headers
	for name, values := range h {
		if notPassed[name] || strings.HasPrefix(name, ownPrefix) {
			continue
		}
		for _, value := range values {
			passed = append(passed, wire.Header{Name: name, Value: value})
		}
	}
	slices.SortStableFunc(passed, func(a, b wire.Header) int { return strings.Compare(a.Name, b.Name) })
	return passed
}
