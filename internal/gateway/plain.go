package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/acacialink/acacialink/internal/bodybudget"
	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/verdict"
)

// servePlain serves a request that is not a stream.
func (req *request) servePlain(ctx context.Context) error {
	var lastErr error
	for {
		if err := req.mayGoOn(lastErr); err != nil {
			return req.finalError(err)
		}
		target := req.gateway.opts.Tracker.LeastLoaded(time.Now(), req.gateway.opts.Endpoints.Service(req.service.Name), req.excluded, req.connected)
		if target == nil && req.retryUnreachable(ctx, lastErr) {
			continue
		}
		if target == nil {
			if lastErr == nil {
				lastErr = req.noPlace()
			} else {
				req.endReason = codeNoEndpoint
			}
			return req.finalError(lastErr)
		}
		again, err := req.attemptPlain(ctx, target)
		if !again {
			return err
		}
		lastErr = err
	}
}

// attemptPlain makes one attempt. It reports whether the request may be sent again after
// the error; if not, the attempt was the last one.
func (req *request) attemptPlain(ctx context.Context, target *endpoint.Endpoint) (again bool, err error) {
	flight := req.gateway.opts.Tracker.BeginCall(time.Now(), target)
	dispatch := req.newDispatch(target)
	defer dispatch.Answer.Release()
	reply, err := req.send(ctx, dispatch)
	if err == nil {
		err = req.relayBuffered(reply, dispatch.Answer, req.repeatable())
		if err == nil {
			flight.Outcome(time.Now(), reply.Status < http.StatusInternalServerError)
			flight.Done()
			return false, nil
		}
	}
	flight.Outcome(time.Now(), false)
	switch {
	case ctx.Err() == nil && endpointMute(err):
		flight.Unreachable(time.Now())
	case verdict.Of(err) == verdict.NotRun || verdict.As(err).Code != "endpoint_failed":
		flight.Failed(time.Now())
	default:
		flight.Done()
	}
	if ctx.Err() != nil || req.headerWritten || !req.mayRetry(err) {
		return false, req.respondFailure(reply, err)
	}
	return true, verdict.As(err) // without the endpoint's answer
}

// respondFailure ends a request after its last attempt. It returns the
// endpoint's own error response to the caller if there is one, which is more
// specific than the gateway's.
func (req *request) respondFailure(reply *Reply, err error) error {
	if failure, ok := err.(*endpointFailure); ok && !req.headerWritten { //nolint:errorlint // returned by relayBuffered, never wrapped
		req.writeHeader(reply, int64(len(failure.body)))
		_, writeErr := req.writer.Write(failure.body)
		return writeError(writeErr)
	}
	return req.finalError(err)
}

// endpointFailure is a complete error response of an endpoint.
type endpointFailure struct {
	cause *verdict.Error
	body  []byte
}

func (f *endpointFailure) Error() string { return f.cause.Error() }

func (f *endpointFailure) Unwrap() error { return f.cause }

// responseBufferBytes is the largest response that is buffered completely
// before it is relayed, so that the request can be retried if the response is
// truncated.
const responseBufferBytes = 256 << 10

// relayBuffered relays the endpoint's response to the caller; bytes beyond
// responseBufferBytes are streamed. If returnFailures is set, a server error of
// the endpoint is returned as *endpointFailure instead, so that another
// endpoint can be tried.
func (req *request) relayBuffered(reply *Reply, answer *bodybudget.Reservation, returnFailures bool) error {
	defer reply.Body.Close()
	buffered := newBuffer(answer, reply.Length)
	err := buffered.fill(reply.Body, responseBufferBytes)
	overflow := err == nil
	if err != nil && err != io.EOF { //nolint:errorlint // fill returns the reader's bare EOF
		return req.truncated(reply, partBody, err)
	}
	req.recordUsage()
	if reply.Status >= http.StatusInternalServerError && returnFailures {
		return &endpointFailure{
			cause: verdict.New(verdict.Ran, reply.Status, "endpoint_failed", "the endpoint failed the request"),
			body:  buffered.bytes,
		}
	}
	if !reply.Authentic && reply.Status < http.StatusMultipleChoices {
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "answer_foreign", "the answer does not bear the endpoint's signature")
	}
	length := int64(len(buffered.bytes))
	if overflow {
		length = reply.Length
	}
	req.firstLatency = time.Since(req.start)
	req.gateway.opts.Metrics.ResponseLatency.Record(req.firstLatency)
	req.writeHeader(reply, length)
	if _, err := req.writer.Write(buffered.bytes); err != nil || !overflow {
		return writeError(err)
	}
	if err := buffered.copyRest(req.writer, reply.Body); err != nil {
		return req.truncated(reply, partBody, err)
	}
	return nil
}

// codeNoEndpoint is the code of a request that no endpoint can take now.
const codeNoEndpoint = "no_endpoint"

func errNoEndpoint() error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codeNoEndpoint, "no endpoint can take the request").After(busyRetryAfter)
}
