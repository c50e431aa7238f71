package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/acacialink/acacialink/internal/catalog"
	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/framing"
	"github.com/acacialink/acacialink/internal/verdict"
)

// codeRejected is the code of a send that the endpoint rejected without running
// the request.
const codeRejected = "endpoint_rejected"

// codeMoved is the code of a send that reached another endpoint at the address.
const codeMoved = "endpoint_moved"

// codePrefillRejected is the code of a prefill that the engine rejected.
const codePrefillRejected = "prefill_rejected"

const (
	// maxSends bounds the sends of one request, including rejected ones.
	maxSends = 4
	// connectionShare is the fraction of an endpoint's connection limit that
	// all hosts together use. The rest is left to other clients.
	connectionShare = 0.8
	// minConnections is the number of connections that a host may always open
	// to an endpoint.
	minConnections = 4
	// busyRetryAfter is the Retry-After of a request that every endpoint
	// refused.
	busyRetryAfter = 300 * time.Millisecond
)

// newDispatch returns the parameters of a send to the endpoint. Its Answer must be released.
func (req *request) newDispatch(target *endpoint.Endpoint) *Dispatch {
	return &Dispatch{
		Endpoint: target, Workspace: req.workspaceName(), Expires: req.deadline,
		Priority: req.rank(), Engine: req.service.Engine != nil,
		NonRepeatable:  req.nonRepeatable(),
		MaxConnections: req.connectionLimit(),
		Deadline:       req.deadline.Add(lateMargin),
		Answer:         req.gateway.opts.Answers.NewReservation(target.ID),
	}
}

// connectionLimit returns this host's share of the connections that an endpoint
// accepts, or 0 if they are not limited.
func (req *request) connectionLimit() int {
	if req.service.MaxConnections <= 0 {
		return 0
	}
	share := connectionShare * float64(req.service.MaxConnections) / float64(max(1, req.gateway.opts.HostCount()))
	return max(minConnections, int(share))
}

// mayRetry reports whether the request may be sent again after err. It consumes
// retry budget.
func (req *request) mayRetry(err error) bool {
	switch {
	case req.sends >= maxSends:
		req.endReason = "sends"
	case req.remaining() <= 0:
		req.endReason = "time"
	case req.mayBeDeadly:
		req.endReason = "crashes"
	case verdict.Of(err) != verdict.NotRun && !req.repeatable():
		req.endReason = "not_repeatable"
	case verdict.Of(err) != verdict.NotRun && req.possibleRuns >= req.route.Attempts:
		req.endReason = "attempts"
	case !req.reserveBudget(false):
		req.endReason = "budget"
	default:
		return true
	}
	return false
}

// reserveBudget reserves the retry budget of the next call to an endpoint, or with
// split of the next prefill and its generation.
func (req *request) reserveBudget(split bool) bool {
	return req.budget.reserve(time.Now(), req.gateway.opts.Budget, req.service.Name, split)
}

// nonRepeatable reports whether a send that is lost cannot be made up for: the request may not
// run twice, or not at another endpoint.
func (req *request) nonRepeatable() bool {
	return !req.repeatable() || req.route.Kind == catalog.Stream && req.route.Attempts < 2
}

// connected reports whether a send to the endpoint needs no new connection.
func (req *request) connected(e *endpoint.Endpoint) bool {
	return req.gateway.opts.Sender.Connected(e, req.nonRepeatable())
}

// repeatable reports whether the request may run more than once.
func (req *request) repeatable() bool {
	return req.route.Kind == catalog.Repeatable || req.route.Kind == catalog.Stream && req.route.Resumable
}

// send transmits the request once. The error is a *verdict.Error.
func (req *request) send(ctx context.Context, dispatch *Dispatch) (*Reply, error) {
	req.sends++
	req.excluded[dispatch.Endpoint.ID] = true
	reply, err := req.gateway.opts.Sender.Send(ctx, req.call, dispatch)
	if err != nil {
		failure := sendFailure(err)
		req.countOversized(failure, partHead)
		req.gateway.opts.Metrics.Sends.Add(failure.Code, 1)
		if engineUnreachable(failure) {
			req.unreachable.record(time.Now(), dispatch.Endpoint.ID)
		}
		if failure.Verdict != verdict.NotRun {
			req.possibleRuns++
			req.budget.arrivals++
		}
		return nil, failure
	}
	req.budget.arrivals++
	if reply.NotRun || reply.AddressReassigned {
		code := codeRejected
		if reply.AddressReassigned {
			code = codeMoved
		}
		req.gateway.opts.Metrics.Sends.Add(code, 1)
		_ = reply.Body.Close()
		return nil, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, code, "the endpoint did not run the request").After(busyRetryAfter)
	}
	req.possibleRuns++
	req.gateway.opts.Metrics.Sends.Add("answered", 1)
	reply.Body = framing.ConfirmSender(reply.Body, reply.Framing, func() bool { return req.gateway.ended(ctx, dispatch.Endpoint) })
	return reply, nil
}

// finalError returns the error for the caller after the last attempt. Its
// verdict is NotRun only if no send may have run.
func (req *request) finalError(err error) error {
	result := *verdict.As(err)
	if req.possibleRuns > 0 && result.Verdict == verdict.NotRun {
		result.Verdict = verdict.MayHaveRun
	}
	if result.RetryAfter > 0 && !untilStated(err) {
		result.RetryAfter = max(result.RetryAfter, req.returnAfter())
	}
	if result.Verdict != verdict.NotRun {
		result.RetryAfter = 0
		if result.Status == http.StatusServiceUnavailable || result.Status == http.StatusTooManyRequests {
			result.Status = http.StatusBadGateway
		}
	}
	return &result
}
