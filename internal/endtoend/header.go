// Package endtoend separates end-to-end HTTP headers, which a proxy forwards,
// from hop-by-hop headers, which apply to a single connection.
package endtoend

import (
	"net/http"
	"slices"
	"strings"
)

// hopByHop lists the headers that are never forwarded: the hop-by-hop headers
// (RFC 9110, 7.6.1); Content-Length, which each sender writes itself; and
// Expect, which each receiver answers itself.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// Header returns the end-to-end headers of from, without those in drop. The
// headers in keep are forwarded even if the Connection header lists them, so
// that a caller cannot remove headers that decide how its request is handled.
// All names must be canonical. The values are shared with from.
func Header(from http.Header, drop, keep []string) http.Header {
	to := make(http.Header, len(from))
	listed := connectionOptions(from)
	for name, values := range from {
		switch {
		case slices.Contains(hopByHop, name), slices.Contains(drop, name):
		case slices.Contains(listed, name) && !slices.Contains(keep, name):
		default:
			to[name] = values
		}
	}
	return to
}

// connectionOptions returns the canonical header names that the Connection
// header lists.
func connectionOptions(from http.Header) []string {
	var names []string
	for _, value := range from.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}
