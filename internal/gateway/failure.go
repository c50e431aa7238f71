package gateway

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/outbound"
	"github.com/acacialink/acacialink/internal/placement"
	"github.com/acacialink/acacialink/internal/verdict"
)

// lostRetryAfter is the Retry-After of a request whose endpoint was lost. By
// then the other hosts have detected the loss or the endpoint has recovered.
const lostRetryAfter = time.Second

// sendFailure maps the error of a send without a response to a verdict.
func sendFailure(err error) *verdict.Error {
	var failure *outbound.Failure
	switch {
	case !errors.As(err, &failure):
		return verdict.As(err)
	case !failure.Sent:
		return verdict.Wrap(err, verdict.NotRun, http.StatusServiceUnavailable, "endpoint_unreachable", "the endpoint cannot be reached").After(lostRetryAfter)
	case isOversized(err):
		return oversizedFailure(err)
	case failure.TimedOut:
		return verdict.Wrap(err, verdict.MayHaveRun, http.StatusGatewayTimeout, "endpoint_silent", "the endpoint did not answer in time")
	default:
		return verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway, "endpoint_lost", "the connection to the endpoint was lost")
	}
}

// endpointMute reports whether a send failed since the endpoint takes no connections or did not
// answer, so that it may have ended. A connection that rested may have been dropped for itself.
func endpointMute(err error) bool {
	var failure *outbound.Failure
	switch {
	case verdict.As(err).Code == codeStalled:
		return true
	case !errors.As(err, &failure):
		return false
	case failure.Sent:
		return failure.TimedOut || !failure.Reused && !isOversized(err)
	default:
		return errors.Is(err, outbound.ErrDial)
	}
}

// endFailed ends a flight whose send failed.
func endFailed(flight *placement.Flight, err error) {
	if endpointMute(err) {
		flight.Unreachable(time.Now())
	} else {
		flight.Failed(time.Now())
	}
}

// prefillFailure maps the error of a failed prefill to a verdict. The verdict
// is always NotRun, because a prefill generates no output.
func prefillFailure(err error) *verdict.Error {
	code := "prefill_" + sendFailure(err).Code
	switch {
	case errors.Is(err, ErrPrefillRejected):
		code = codePrefillRejected
	case errors.Is(err, ErrPrefillInvalid):
		code = "prefill_garbled"
	}
	return verdict.Wrap(err, verdict.NotRun, http.StatusServiceUnavailable, code, "the prompt was not read").After(lostRetryAfter)
}

// prefillNotSent reports whether no byte of the prefill left this host.
func prefillNotSent(err error) bool {
	var failure *outbound.Failure
	return errors.As(err, &failure) && !failure.Sent
}

// malformedFailure maps the error of a malformed request to a verdict.
func malformedFailure(err error) *verdict.Error {
	var malformed *MalformedError
	if !errors.As(err, &malformed) {
		return verdict.As(err)
	}
	return verdict.New(verdict.NotRun, http.StatusBadRequest, malformed.Code, malformed.Message)
}
