package verdict

import (
	"time"

	"github.com/pkg/errors"
)

// Error is a failure on the request path: its cause, whether the request may
// have run, and what the caller is told.
type Error struct {
	// Verdict states whether the request may have run.
	Verdict Verdict
	// Status is the HTTP status code for the caller.
	Status int
	// Code is a stable machine-readable identifier, such as "rate_limited".
	Code string
	// Message is one lower-case sentence for humans. It never contains a key.
	Message string
	// RetryAfter is the time that the caller should wait before a retry, if it
	// is positive.
	RetryAfter time.Duration
	// Cause is the underlying error, for logs only; it may be nil.
	Cause error
}

// New returns an Error without a cause.
func New(v Verdict, status int, code, message string) *Error {
	return &Error{Verdict: v, Status: status, Code: code, Message: message}
}

// Wrap returns an Error with the given cause.
func Wrap(cause error, v Verdict, status int, code, message string) *Error {
	return &Error{Verdict: v, Status: status, Code: code, Message: message, Cause: cause}
}

// Error implements the error interface.
func (e *Error) Error() string {
	message := e.Code + ": " + e.Message + " (" + e.Verdict.String() + ")"
	if e.Cause != nil {
		message += ": " + e.Cause.Error()
	}
	return message
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// After returns a copy of e with RetryAfter set to d.
func (e *Error) After(d time.Duration) *Error {
	result := *e
	result.RetryAfter = d
	return &result
}

// Of returns the verdict of err. It is MayHaveRun if err does not wrap an
// *Error.
func Of(err error) Verdict {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Verdict
	}
	return MayHaveRun
}

// As returns the *Error that err wraps. If there is none, it wraps err in an
// internal error with the verdict MayHaveRun.
func As(err error) *Error {
	var failure *Error
	if errors.As(err, &failure) {
		return failure
	}
	return Wrap(err, MayHaveRun, 500, "internal", "internal error")
}
