package opsclient

import (
	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/exit"
)

// wrapWithCode wraps err with a message and an exit code.
func wrapWithCode(code exit.Code, err error, message string) error {
	return exit.With(code, errors.Wrap(err, message))
}

// errorfWithCode returns a formatted error with an exit code.
func errorfWithCode(code exit.Code, format string, args ...any) error {
	return exit.With(code, errors.Errorf(format, args...))
}
