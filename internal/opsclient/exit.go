package opsclient

import "github.com/pkg/errors"

// ExitCode is what a command's process returns.
type ExitCode int

// The exit codes of the commands.
const (
	// ExitOK: done, and in force when the command waited for it.
	ExitOK ExitCode = 0
	// ExitFailed: the answer could not be understood.
	ExitFailed ExitCode = 1
	// ExitUsage: the arguments or the file cannot be read.
	ExitUsage ExitCode = 2
	// ExitInvalid: the change is not valid; nothing was changed.
	ExitInvalid ExitCode = 3
	// ExitConflict: a resource has another revision; nothing was changed.
	ExitConflict ExitCode = 4
	// ExitNotFound: there is no such resource.
	ExitNotFound ExitCode = 5
	// ExitUnauthorized: the token is not an operator's.
	ExitUnauthorized ExitCode = 6
	// ExitUnavailable: no host or no store takes changes now; nothing was changed.
	ExitUnavailable ExitCode = 7
	// ExitUnknown: the change may have been accepted.
	ExitUnknown ExitCode = 8
	// ExitPending: the change is stored, but was not in force within the wait.
	ExitPending ExitCode = 9
)

// ExitError is a failure with the exit code of the process.
type ExitError struct {
	Code ExitCode
	Err  error
}

// Error implements the error interface.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

// CodeOf returns the exit code for an error of this package; nil is ExitOK.
func CodeOf(err error) ExitCode {
	if err == nil {
		return ExitOK
	}
	var e *ExitError
	if errors.As(err, &e) {
		return e.Code
	}
	return ExitFailed
}

func fail(code ExitCode, err error, message string) error {
	return &ExitError{Code: code, Err: errors.Wrap(err, message)}
}

func failf(code ExitCode, format string, args ...any) error {
	return &ExitError{Code: code, Err: errors.Errorf(format, args...)}
}
