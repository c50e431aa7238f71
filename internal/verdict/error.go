package verdict

import (
	"time"

	"github.com/pkg/errors"
)

// Error is a failure on the request path: what went wrong, whether the
// request may have run, and what the caller is told.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Status is the HTTP status code for the caller.
	Status int
	// Code is a stable machine-readable name, such as "rate_limited".
	Code string
	// Message is one lower-case sentence for a person. It never holds a key.
	Message string
	// RetryAfter, when positive, is how long the caller should wait.
	RetryAfter time.Duration
	// Cause is the underlying error, for logs only; it may be nil.
	Cause error
}

// New returns an Error without a cause.
func New(v Verdict, status int, code, message string) *Error {
	return &Error{Verdict: v, Status: status, Code: code, Message: message}
}

// Wrap returns an Error around cause.
func Wrap(cause error, v Verdict, status int, code, message string) *Error {
	return &Error{Verdict: v, Status: status, Code: code, Message: message, Cause: cause}
}

// Error implements the error interface.
func (e *Error) Error() string {
	text := e.Code + ": " + e.Message + " (" + e.Verdict.String() + ")"
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// After returns a copy of e that asks the caller to wait for d.
func (e *Error) After(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Of returns the verdict that err carries. An error without one is MayHaveRun.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// As returns err as an *Error; a foreign error becomes an internal one with
// the verdict MayHaveRun.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, MayHaveRun, 500, "internal", "internal error")
}
