package agent

import (
	"context"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/bodybudget"
	"github.com/acacialink/acacialink/internal/rpc"
	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/verdict"
)

// Handle serves one request of a session and sends its responses to r.
func (a *Agent) Handle(ctx context.Context, m *wire.EntryMessage, r *rpc.Responder) {
	if refusal := a.begin(); refusal != "" {
		a.stats.Refused.Add(1)
		a.inFlight.Add(1) // until the refusal is sent, as for an answer
		r.Fail(verdict.New(verdict.NotRun, 503, refusal, "the endpoint takes no new work"))
		r.AfterSent(a.end)
		return
	}
	// A request is in flight until the connection has taken its whole answer, so
	// that a process that exits after Drain cuts no answer off.
	defer func() { r.AfterSent(a.end) }()
	switch body := m.Body.(type) {
	case *wire.EntryMessage_Generate:
		a.generate(ctx, m.RequestId, body.Generate, r)
	case *wire.EntryMessage_Call:
		a.call(ctx, m.RequestId, body.Call, r)
	case *wire.EntryMessage_Pull:
		a.pull(ctx, m.RequestId, body.Pull, r)
	default:
		r.Fail(verdict.New(verdict.NotRun, 501, "unknown_message", "the agent does not know this kind of request"))
	}
}

// fail ends a request with the verdict for a backing error.
func (a *Agent) fail(r *rpc.Responder, err error) {
	a.countFailure(err)
	r.Fail(endpointError(err))
}

func (a *Agent) countFailure(err error) {
	a.stats.Failed.Add(1)
	switch {
	case errors.Is(err, backing.ErrUnavailable):
	case errors.Is(err, bodybudget.ErrExhausted):
		a.stats.AnswersCut.Add(1)
	case errors.Is(err, backing.ErrTooLong):
		a.stats.AnswersTooLong.Add(1)
	}
}

// endpointError maps an error of package backing to a verdict.
func endpointError(err error) error {
	switch {
	case errors.Is(err, backing.ErrUnavailable):
		return verdict.Wrap(err, verdict.NotRun, 503, "endpoint_unavailable", "the endpoint cannot be reached")
	case errors.Is(err, backing.ErrRejected):
		return verdict.Wrap(err, verdict.NotRun, 503, "endpoint_rejected", "the endpoint refused the request")
	case errors.Is(err, backing.ErrNotFound):
		return verdict.Wrap(err, verdict.NotRun, 503, "endpoint_not_found", "the endpoint does not know what was asked for")
	case errors.Is(err, bodybudget.ErrExhausted):
		return verdict.Wrap(err, verdict.MayHaveRun, 502, "answers_full", "the endpoint's answers take more memory than they may")
	case errors.Is(err, backing.ErrTooLong):
		return verdict.Wrap(err, verdict.MayHaveRun, 502, "answer_too_long", "the endpoint sent more than an answer may have")
	default:
		return verdict.Wrap(err, verdict.MayHaveRun, 502, "endpoint_lost", "the answer of the endpoint was lost")
	}
}
