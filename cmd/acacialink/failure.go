package main

import (
	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/exit"
)

// failure is an error with the exit code that it stands for.
type failure struct {
	code exit.Code
	err  error
}

func (f *failure) Error() string { return f.err.Error() }

func (f *failure) Unwrap() error { return f.err }

// failed returns err with an exit code; nil stays nil.
func failed(code exit.Code, err error) error {
	if err == nil {
		return nil
	}
	return &failure{code: code, err: err}
}

func codeOf(err error) exit.Code {
	var f *failure
	if errors.As(err, &f) {
		return f.code
	}
	return exit.Failed
}
