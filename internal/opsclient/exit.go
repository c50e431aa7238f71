package opsclient

import (
	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/exit"
)

func fail(code exit.Code, err error, message string) error {
	return exit.With(code, errors.Wrap(err, message))
}

func failf(code exit.Code, format string, args ...any) error {
	return exit.With(code, errors.Errorf(format, args...))
}
