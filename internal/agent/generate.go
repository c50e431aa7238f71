package agent

import (
	"context"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/rpc"
	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/verdict"
)

// errSessionLost stops a generation whose tokens can no longer be sent to the
// entry process.
var errSessionLost = errors.New("session to the entry is lost")

// generate runs one generation on the engine and streams its tokens to r.
func (a *Agent) generate(ctx context.Context, id string, request *wire.GenerateRequest, r *rpc.Responder) {
	if a.opts.Engine == nil {
		r.Fail(verdict.New(verdict.NotRun, 503, "not_an_engine", "the endpoint is no model engine"))
		return
	}
	a.stats.Generations.Add(1)
	finish, err := a.opts.Engine.Generate(ctx, newGeneration(id, request), func(t backing.Token) error {
		a.stats.GeneratedTokens.Add(1)
		return sendToken(r, t)
	})
	if ctx.Err() != nil {
		a.cancelAtEngine(ctx, id)
	}
	if err != nil {
		a.failGeneration(ctx, r, err)
		return
	}
	a.stats.PrefilledTokens.Add(int64(finish.PromptTokens - finish.CachedTokens))
	r.Send(&wire.AgentMessage{Body: &wire.AgentMessage_Finished{Finished: &wire.Finished{
		Reason:       finish.Reason,
		PromptTokens: int32(finish.PromptTokens),
		OutputTokens: int32(finish.OutputTokens),
		CachedTokens: int32(finish.CachedTokens),
	}}})
}

// failGeneration ends a generation with the verdict for err, and tells whether the engine
// has ended under it.
func (a *Agent) failGeneration(ctx context.Context, r *rpc.Responder, err error) {
	failure := endpointError(err)
	if ctx.Err() != nil || verdict.Of(failure) != verdict.MayHaveRun {
		a.fail(r, err)
		return
	}
	a.countFailure(err)
	r.FailEnded(failure, a.engineEnded(ctx))
}

func sendToken(r *rpc.Responder, t backing.Token) error {
	sent := r.Send(&wire.AgentMessage{Body: &wire.AgentMessage_Tokens{Tokens: &wire.Tokens{
		First: int32(t.Index),
		Texts: []string{t.Text},
	}}})
	if !sent {
		return errSessionLost
	}
	return nil
}

// cancelAtEngine cancels a generation whose caller has disconnected. It sends an
// explicit cancel, since the engine may be slow to detect a closed connection.
func (a *Agent) cancelAtEngine(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.opts.LoadTimeout)
	defer cancel()
	_ = a.opts.Engine.Cancel(ctx, id)
}

func newGeneration(id string, request *wire.GenerateRequest) backing.Generation {
	return backing.Generation{
		ID:          id,
		Model:       request.Model,
		Adapter:     request.Adapter,
		Priority:    int(request.Priority),
		Prompt:      request.Prompt,
		MaxTokens:   int(request.MaxTokens),
		Resume:      int(request.Resume),
		KVHandle:    request.KvHandle,
		PrefillOnly: request.PrefillOnly,
	}
}
