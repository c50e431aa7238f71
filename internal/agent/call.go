package agent

import (
	"context"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/rpc"
	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/verdict"
)

// call gives one request to the plain service. A call that may not be
// repeated goes on when its caller is gone: stopping it would not undo it.
func (a *Agent) call(ctx context.Context, id string, c *wire.CallRequest, r *rpc.Responder) {
	if a.opts.Service == nil {
		r.Fail(verdict.New(verdict.NotRun, 503, "not_a_service", "the endpoint is no plain service"))
		return
	}
	if ctx.Err() != nil {
		r.Fail(verdict.New(verdict.NotRun, 503, "canceled", "the request was canceled before it was sent"))
		return
	}
	if !c.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	timeout := min(time.Duration(c.TimeoutUs)*time.Microsecond, a.opts.CallTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a.stats.Calls.Add(1)
	response, err := a.opts.Service.Call(ctx, serviceRequest(id, c))
	if err != nil {
		a.fail(r, err)
		return
	}
	r.Send(&wire.AgentMessage{Body: &wire.AgentMessage_Call{Call: &wire.CallResponse{
		Status:  int32(response.Status),
		Headers: headers(response.Header),
		Body:    response.Body,
	}}})
}

func serviceRequest(id string, c *wire.CallRequest) backing.ServiceRequest {
	header := make(map[string][]string, len(c.Headers))
	for _, h := range c.Headers {
		header[h.Name] = h.Values
	}
	return backing.ServiceRequest{
		ID:         id,
		Method:     c.Method,
		Path:       c.Path,
		Header:     header,
		Body:       c.Body,
		Idempotent: c.Idempotent,
	}
}

func headers(from map[string][]string) []*wire.Header {
	out := make([]*wire.Header, 0, len(from))
	for name, values := range from {
		out = append(out, &wire.Header{Name: name, Values: values})
	}
	return out
}
