package opsclient

import (
	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/exit"
)

// ExitError is a failure with the exit code of the process.
type ExitError struct {
	Code exit.Code
	Err  error
}

// Error implements the error interface.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

// CodeOf returns the exit code for an error of this package; nil is exit.OK.
func CodeOf(err error) exit.Code {
	if err == nil {
		return exit.OK
	}
	var e *ExitError
	if errors.As(err, &e) {
		return e.Code
	}
	return exit.Failed
}

func fail(code exit.Code, err error, message string) error {
	return &ExitError{Code: code, Err: errors.Wrap(err, message)}
}

func failf(code exit.Code, format string, args ...any) error {
	return &ExitError{Code: code, Err: errors.Errorf(format, args...)}
}
