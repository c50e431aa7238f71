package gateway

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/outbound"
	"github.com/acacialink/acacialink/internal/verdict"
)

// retryLost is when to ask again after an endpoint was lost: by then it is known
// to others or back.
const retryLost = time.Second

// sendFailure gives a send without an answer its verdict.
func sendFailure(err error) *verdict.Error {
	var f *outbound.Failure
	switch {
	case !errors.As(err, &f):
		return verdict.As(err)
	case !f.Sent:
		return verdict.Wrap(err, verdict.NotRun, http.StatusServiceUnavailable, "endpoint_unreachable", "the endpoint cannot be reached").After(retryLost)
	case f.Silent:
		return verdict.Wrap(err, verdict.MayHaveRun, http.StatusGatewayTimeout, "endpoint_silent", "the endpoint did not answer in time")
	default:
		return verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway, "endpoint_lost", "the connection to the endpoint was lost")
	}
}

// prefillFailure gives a failed prefill its verdict, which is always "not run":
// reading a prompt generates nothing.
func prefillFailure(err error) *verdict.Error {
	code := "prefill_" + sendFailure(err).Code
	switch {
	case errors.Is(err, ErrPrefillRejected):
		code = codePrefillRejected
	case errors.Is(err, ErrPrefillGarbled):
		code = "prefill_garbled"
	}
	return verdict.Wrap(err, verdict.NotRun, http.StatusServiceUnavailable, code, "the prompt was not read").After(retryLost)
}

// malformed gives a request that cannot be read its verdict.
func malformed(err error) *verdict.Error {
	var m *MalformedError
	if !errors.As(err, &m) {
		return verdict.As(err)
	}
	return verdict.New(verdict.NotRun, http.StatusBadRequest, m.Code, m.Message)
}
