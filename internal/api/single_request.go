package api

import (
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// ParseDeadline parses the value of HeaderDeadline in milliseconds; an empty value is 0. It returns a *RequestError.
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

// BodyReadError converts an error of reading a body that is limited to limit bytes to a *RequestError.
func BodyReadError(err error, limit int) error {
	var maxBytesErr *http.MaxBytesError
	if errors.As(err, &maxBytesErr) {
		return tooLarge("the body is larger than %d bytes", limit)
	}
	return invalid("the body cannot be read")
}

// notForwarded lists the header fields of a single request that concern the entry or the connection.
var notForwarded = map[string]bool{
	"Authorization": true, "Connection": true, "Content-Length": true, "Expect": true, "Host": true,
	"Idempotency-Key": true, "Cancel-On-Close": true, "Keep-Alive": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Accept-Encoding": true,
}

const headerPrefix = "Coltsfootspur-"

// ForwardedHeaders returns the header fields of a single request that are forwarded to the upstream, sorted by name.
func ForwardedHeaders(h http.Header) Headers {
	var forwarded Headers
	for name, values := range h {
		if notForwarded[name] || strings.HasPrefix(name, headerPrefix) {
			continue
		}
		for _, value := range values {
			forwarded = append(forwarded, wire.Header{Name: name, Value: value})
		}
	}
	slices.SortStableFunc(forwarded, func(a, b wire.Header) int { return strings.Compare(a.Name, b.Name) })
	return forwarded
}
