package entry

import (
	"net/http"
	"slices"
	"strings"
)

// hopByHop are the headers that belong to one connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

func isHopByHop(name string) bool {
	return slices.Contains(hopByHop, http.CanonicalHeaderKey(name))
}

// forwardedHeader is the part of a caller's header that an endpoint receives:
// no keys, nothing that belongs to the caller's connection.
func forwardedHeader(from http.Header) http.Header {
	to := make(http.Header, len(from))
	named := connectionNamed(from)
	for name, values := range from {
		if isHopByHop(name) || slices.Contains(keyHeaders, name) || slices.Contains(named, name) {
			continue
		}
		to[name] = values
	}
	to.Del(requestIDHeader)
	return to
}

// connectionNamed lists the headers that the Connection header names.
func connectionNamed(from http.Header) []string {
	var names []string
	for _, value := range from.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}
