package agent

import (
	"context"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/rpc"
	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/verdict"
)

// call forwards one request to the plain service. A call that is not idempotent
// is not canceled with ctx, since canceling it would not undo its effects.
func (a *Agent) call(ctx context.Context, id string, request *wire.CallRequest, r *rpc.Responder) {
	if a.opts.Service == nil {
		r.Fail(verdict.New(verdict.NotRun, 503, "not_a_service", "the endpoint is no plain service"))
		return
	}
	if ctx.Err() != nil {
		r.Fail(verdict.New(verdict.NotRun, 503, "canceled", "the request was canceled before it was sent"))
		return
	}
	if !request.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	timeout := min(time.Duration(request.TimeoutUs)*time.Microsecond, a.opts.CallTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a.stats.Calls.Add(1)
	response, err := a.opts.Service.Call(ctx, newServiceRequest(id, request))
	if err != nil {
		a.fail(r, err)
		return
	}
	// The answer is in the outbox until the connection has taken it.
	defer r.AfterSent(response.Release)
	sent := r.Send(&wire.AgentMessage{Body: &wire.AgentMessage_Call{Call: &wire.CallResponse{
		Status:  int32(response.Status),
		Headers: wireHeaders(response.Header),
		Body:    response.Body,
	}}})
	if !sent {
		a.stats.Failed.Add(1)
		r.Fail(verdict.New(verdict.MayHaveRun, 502, "session_full", "too much waits for the entry host"))
	}
}

func newServiceRequest(id string, request *wire.CallRequest) backing.ServiceRequest {
	header := make(map[string][]string, len(request.Headers))
	for _, h := range request.Headers {
		header[h.Name] = h.Values
	}
	return backing.ServiceRequest{
		ID:         id,
		Method:     request.Method,
		Path:       request.Path,
		Header:     header,
		Body:       request.Body,
		Idempotent: request.Idempotent,
	}
}

func wireHeaders(header map[string][]string) []*wire.Header {
	out := make([]*wire.Header, 0, len(header))
	for name, values := range header {
		out = append(out, &wire.Header{Name: name, Values: values})
	}
	return out
}
