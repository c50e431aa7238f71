package exit

import "github.com/pkg/errors"

// codedError is an error with the exit code that it stands for.
type codedError struct {
	code Code
	err  error
}

// Error implements the error interface.
func (e *codedError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *codedError) Unwrap() error { return e.err }

// With returns err with an exit code; nil stays nil.
func With(code Code, err error) error {
	if err == nil {
		return nil
	}
	return &codedError{code: code, err: err}
}

// CodeOf returns the exit code that an error stands for: that of the outermost
// With, OK for nil and Failed for an error without one.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	var e *codedError
	if errors.As(err, &e) {
		return e.code
	}
	return Failed
}
