package exit

import "github.com/pkg/errors"

// codedError is an error with the exit code of the command.
type codedError struct {
	code Code
	err  error
}

// Error implements the error interface.
func (e *codedError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *codedError) Unwrap() error { return e.err }

// With attaches an exit code to err. It returns nil if err is nil.
func With(code Code, err error) error {
	if err == nil {
		return nil
	}
	return &codedError{code: code, err: err}
}

// CodeOf returns the exit code of err: the code attached by the outermost With,
// OK if err is nil, and Failed if no code is attached.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	var coded *codedError
	if errors.As(err, &coded) {
		return coded.code
	}
	return Failed
}
