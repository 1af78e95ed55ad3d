package agent

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// connectionHeaders belong to one connection (RFC 9110, section 7.6.1) or are set by net/http; they are not passed on.
var connectionHeaders = []string{
	"Connection", "Content-Length", "Expect", "Host", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func copyRequestHeaders(call *http.Request, headers []wire.Header) {
	named := connectionNamed(headers)
	for _, h := range headers {
		name := textproto.CanonicalMIMEHeaderKey(h.Name)
		if name == "Host" {
			call.Host = h.Value
		}
		if slices.Contains(connectionHeaders, name) || named[name] || strings.HasPrefix(name, headerPrefix) {
			continue
		}
		call.Header.Add(name, h.Value)
	}
	if _, ok := call.Header["User-Agent"]; !ok {
		call.Header["User-Agent"] = nil // keeps net/http from adding its own
	}
}

// answerHeaders returns the end-to-end headers in the order of their names, so that equal answers are equal bytes.
func answerHeaders(answer *http.Response) []wire.Header {
	var headers []wire.Header
	for name, values := range answer.Header {
		for _, value := range values {
			headers = append(headers, wire.Header{Name: name, Value: value})
		}
	}
	named := connectionNamed(headers)
	headers = slices.DeleteFunc(headers, func(h wire.Header) bool {
		return slices.Contains(connectionHeaders, h.Name) || named[h.Name]
	})
	slices.SortStableFunc(headers, func(a, b wire.Header) int { return strings.Compare(a.Name, b.Name) })
	return headers
}

// connectionNamed returns the headers that a Connection header names.
func connectionNamed(headers []wire.Header) map[string]bool {
	named := make(map[string]bool)
	for _, h := range headers {
		if textproto.CanonicalMIMEHeaderKey(h.Name) != "Connection" {
			continue
		}
		for name := range strings.SplitSeq(h.Value, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}
