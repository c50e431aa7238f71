// Package framing decides whether the body of another process's answer is whole.
package framing

import (
	"net/http"

	"github.com/pkg/errors"
)

// Framing is how an HTTP response states where its body ends.
type Framing int

const (
	// Length is a body whose length the header states, or that the request's method or
	// the status excludes.
	Length Framing = iota
	// Chunked is a body in chunks; the last one is empty.
	Chunked
	// Connection is a body that ends when its connection does.
	Connection
)

// ErrStatus reports an answer whose status is none.
var ErrStatus = errors.New("the answer's status is none")

// IsFinal reports whether a status is one of an answer: HTTP has none outside of these, and
// those below are informational.
func IsFinal(status int) bool {
	return status >= http.StatusOK && status <= maxStatus
}

// IsInformational reports whether an answer with the status is followed by another one.
func IsInformational(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

const maxStatus = 599

// Of returns the framing of a response that net/http has read.
func Of(r *http.Response) Framing {
	switch {
	case r.ContentLength >= 0, r.Body == http.NoBody, r.Request != nil && r.Request.Method == http.MethodHead:
		return Length
	case len(r.TransferEncoding) > 0:
		return Chunked
	default:
		return Connection
	}
}

// String returns the framing as logs and metrics name it.
func (f Framing) String() string {
	switch f {
	case Length:
		return "length"
	case Chunked:
		return "chunked"
	default:
		return "connection"
	}
}
