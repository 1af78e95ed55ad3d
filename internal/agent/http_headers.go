package agent

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// unforwardedHeaders are the headers that apply to one connection (RFC 9110, section 7.6.1) or that net/http sets itself.
var unforwardedHeaders = []string{
	"Connection", "Content-Length", "Expect", "Host", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyRequestHeaders copies the headers that are forwarded to the upstream. It omits those that the agent sets itself.
func copyRequestHeaders(httpRequest *http.Request, headers []wire.Header) {
	connectionHeaders := headersNamedByConnection(headers)
	for _, h := range headers {
		name := textproto.CanonicalMIMEHeaderKey(h.Name)
		if name == "Host" {
			httpRequest.Host = h.Value
		}
		if slices.Contains(unforwardedHeaders, name) || connectionHeaders[name] || strings.HasPrefix(name, headerPrefix) {
			continue
		}
		httpRequest.Header.Add(name, h.Value)
	}
	if _, ok := httpRequest.Header["User-Agent"]; !ok {
		httpRequest.Header["User-Agent"] = nil // prevents net/http from adding its own value
	}
}

// answerHeaders returns the end-to-end headers, sorted by name so that equal answers have equal encodings.
func answerHeaders(httpResponse *http.Response) []wire.Header {
	var headers []wire.Header
	for name, values := range httpResponse.Header {
		for _, value := range values {
			headers = append(headers, wire.Header{Name: name, Value: value})
		}
	}
	connectionHeaders := headersNamedByConnection(headers)
	headers = slices.DeleteFunc(headers, func(h wire.Header) bool {
		return slices.Contains(unforwardedHeaders, h.Name) || connectionHeaders[h.Name]
	})
	slices.SortStableFunc(headers, func(a, b wire.Header) int { return strings.Compare(a.Name, b.Name) })
	return headers
}

// headersNamedByConnection returns the names of the headers that are listed in Connection headers.
func headersNamedByConnection(headers []wire.Header) map[string]bool {
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
