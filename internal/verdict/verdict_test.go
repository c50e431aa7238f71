package verdict_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/verdict"
)

func TestUnknownErrorsAndNamesAreMayHaveRun(t *testing.T) {
	is := is.New(t)
	is.Equal(verdict.Of(errors.New("boom")), verdict.MayHaveRun)
	is.Equal(verdict.Parse("nonsense"), verdict.MayHaveRun)
	var zero verdict.Verdict
	is.Equal(zero, verdict.MayHaveRun)
}

func TestVerdictOfWrappedError(t *testing.T) {
	is := is.New(t)
	err := errors.Wrap(verdict.New(verdict.NotRun, 429, "rate_limited", "over the rate"), "admit")
	is.Equal(verdict.Of(err), verdict.NotRun)
	is.Equal(verdict.As(err).Status, 429)
	for _, v := range []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran} {
		is.Equal(verdict.Parse(v.String()), v)
	}
}
