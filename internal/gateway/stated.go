package gateway

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/acacialink/acacialink/internal/verdict"
)

const (
	// maxStatedWait bounds the wait of a request for the rate or the pause of an endpoint.
	// A short wait costs the caller less than a refusal and a return.
	maxStatedWait = 200 * time.Millisecond
	// maxDecodeWait is maxStatedWait for a decode engine of a prefilled request.
	maxDecodeWait = 600 * time.Millisecond
)

const (
	// codeRateStated is the code of a request refused because of the rates that endpoints
	// state.
	codeRateStated = "endpoint_rate"
	// codePaused is the code of a request refused because endpoints want nothing for a time.
	codePaused = "endpoint_paused"
)

// untilStated reports whether err means that only what endpoints state of themselves leaves
// no place now.
func untilStated(err error) bool {
	code := verdict.As(err).Code
	return code == codeRateStated || code == codePaused
}

// sendWait returns the time until an endpoint of the service takes a request within what it
// states, and whether a pause decides it; 0 if none states anything.
func (req *request) sendWait() (wait time.Duration, paused bool) {
	return req.gateway.opts.Tracker.SendWait(time.Now(), req.gateway.opts.Endpoints.Service(req.service.Name), req.excluded)
}

// noPlace returns the error of a request that no endpoint can take now.
func (req *request) noPlace() error {
	wait, paused := req.sendWait()
	if wait == 0 {
		return errNoEndpoint()
	}
	code, message := codeRateStated, "the endpoints take no more requests now, as they state"
	if paused {
		code, message = codePaused, "the endpoints want no requests for a while, as they state"
	}
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, code, message).After(spread(max(busyRetryAfter, wait)))
}

// spread returns a time from wait to twice as long: endpoints take the callers that return
// one after the other.
func spread(wait time.Duration) time.Duration {
	return wait + time.Duration(rand.Float64()*float64(wait)) //nolint:gosec // not a secret
}

// returnAfter returns the time after which a caller that is refused may return, if no
// endpoint of the service takes a request before, as they state; else 0.
func (req *request) returnAfter() time.Duration {
	now, endpoints := time.Now(), req.gateway.opts.Endpoints.Service(req.service.Name)
	if len(endpoints) == 0 || req.gateway.opts.Tracker.LeastLoaded(now, endpoints, nil, nil) != nil {
		return 0
	}
	wait, _ := req.gateway.opts.Tracker.SendWait(now, endpoints, nil)
	return spread(wait)
}
