package backing

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"
)

// ErrorBody is the JSON body of an error response of a platform service.
type ErrorBody struct {
	Code    string `json:"error"`
	Message string `json:"message,omitempty"`
}

// wireErrors maps error codes and HTTP statuses to the errors of this package.
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

// EncodeError returns the HTTP status and the body for err. An error that is not
// of this package gets the code "unknown".
func EncodeError(err error) (int, ErrorBody) {
	for _, w := range wireErrors {
		if errors.Is(err, w.err) {
			return w.status, ErrorBody{Code: w.code, Message: err.Error()}
		}
	}
	return http.StatusInternalServerError, ErrorBody{Code: "unknown", Message: err.Error()}
}

// Err returns the error for the body's code, or ErrUnknown if the code is not
// known.
func (b ErrorBody) Err() error {
	for _, w := range wireErrors {
		if w.code == b.Code {
			return errors.Wrap(w.err, b.Message)
		}
	}
	return errors.Wrapf(ErrUnknown, "foreign error code %q", b.Code)
}

// decodeError maps the status and body of an error response to an error.
func decodeError(status int, body []byte) error {
	var errBody ErrorBody
	if err := json.Unmarshal(body, &errBody); err != nil || errBody.Code == "" {
		return errors.Wrapf(ErrUnknown, "status %d without an error body", status)
	}
	return errBody.Err()
}

// callError is an error of this package (kind) with its cause.
type callError struct {
	kind, cause error
}

// Error implements the error interface.
func (e *callError) Error() string { return e.kind.Error() + ": " + e.cause.Error() }

// Unwrap returns the kind and the cause, so that errors.Is matches both.
func (e *callError) Unwrap() []error { return []error{e.kind, e.cause} }
