package backing

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"
)

// ErrorBody is the JSON body of a refusal by a platform service.
type ErrorBody struct {
	Code    string `json:"error"`
	Message string `json:"message,omitempty"`
}

// wireErrors pairs the codes of the wire format with this package's errors.
var wireErrors = []struct {
	code   string
	status int
	err    error
}{
	{"unavailable", http.StatusServiceUnavailable, ErrUnavailable},
	{"unknown", http.StatusInternalServerError, ErrUnknown},
	{"conflict", http.StatusConflict, ErrConflict},
	{"not_found", http.StatusNotFound, ErrNotFound},
	{"lease_expired", http.StatusGone, ErrLeaseExpired},
	{"compacted", http.StatusGone, ErrCompacted},
	{"fenced", http.StatusPreconditionFailed, ErrFenced},
	{"rejected", http.StatusUnprocessableEntity, ErrRejected},
}

// EncodeError returns the HTTP status and the body for err. A foreign error
// is "unknown".
func EncodeError(err error) (int, ErrorBody) {
	for _, w := range wireErrors {
		if errors.Is(err, w.err) {
			return w.status, ErrorBody{Code: w.code, Message: err.Error()}
		}
	}
	return http.StatusInternalServerError, ErrorBody{Code: "unknown", Message: err.Error()}
}

// Err returns the error that the body names, ErrUnknown for a foreign code.
func (b ErrorBody) Err() error {
	for _, w := range wireErrors {
		if w.code == b.Code {
			return errors.Wrap(w.err, b.Message)
		}
	}
	return errors.Wrapf(ErrUnknown, "foreign error code %q", b.Code)
}

// decodeError maps a refused call's status and body to an error.
func decodeError(status int, body []byte) error {
	var b ErrorBody
	if err := json.Unmarshal(body, &b); err != nil || b.Code == "" {
		return errors.Wrapf(ErrUnknown, "status %d without an error body", status)
	}
	return b.Err()
}

// callError is an error of this package together with what caused it.
type callError struct {
	kind, cause error
}

// Error implements the error interface.
func (e *callError) Error() string { return e.kind.Error() + ": " + e.cause.Error() }

// Unwrap lets errors.Is find both.
func (e *callError) Unwrap() []error { return []error{e.kind, e.cause} }
