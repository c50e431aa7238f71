package agent

import (
	"context"

	"github.com/acacialink/acacialink/internal/rpc"
	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/verdict"
)

// errNoEngine refuses KV cache requests at plain services.
var errNoEngine = verdict.New(verdict.NotRun, 503, "not_an_engine", "the endpoint is no model engine")

func (a *Agent) export(ctx context.Context, id string, r *rpc.Responder) {
	if a.opts.Engine == nil {
		r.Fail(errNoEngine)
		return
	}
	value, err := a.opts.Engine.ExportKV(ctx, id)
	if err != nil {
		a.fail(r, err)
		return
	}
	r.Send(&wire.AgentMessage{Body: &wire.AgentMessage_Kv{Kv: &wire.KvCache{Value: value}}})
}

func (a *Agent) importKV(ctx context.Context, m *wire.ImportRequest, r *rpc.Responder) {
	if a.opts.Engine == nil {
		r.Fail(errNoEngine)
		return
	}
	if err := a.opts.Engine.ImportKV(ctx, m.Handle, m.Value); err != nil {
		a.fail(r, err)
		return
	}
	r.Send(&wire.AgentMessage{Body: &wire.AgentMessage_Kv{Kv: &wire.KvCache{Handle: m.Handle}}})
}
