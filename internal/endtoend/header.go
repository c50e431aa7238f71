// Package endtoend tells the headers that go on to the next party from those
// that belong to one connection.
package endtoend

import (
	"net/http"
	"slices"
	"strings"
)

// hopByHop are the headers that belong to one connection (RFC 9110, 7.6.1),
// with the length, which each sender writes itself, and Expect, which each
// receiver answers itself.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// Header returns the headers that go on, without those to drop. The headers to
// keep go on even if Connection names them, so that a caller cannot take away
// what a request is judged by. All names are canonical.
func Header(from http.Header, drop, keep []string) http.Header {
	to := make(http.Header, len(from))
	named := connectionNamed(from)
	for name, values := range from {
		switch {
		case slices.Contains(hopByHop, name), slices.Contains(drop, name):
		case slices.Contains(named, name) && !slices.Contains(keep, name):
		default:
			to[name] = values
		}
	}
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
