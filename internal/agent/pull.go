package agent

import (
	"context"
	"net/http"

	"github.com/acacialink/acacialink/internal/rpc"
	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/verdict"
)

// KVSource fetches KV caches from other agents.
type KVSource interface {
	// Fetch returns the KV cache of the request requestID from the endpoint
	// whose agent listens at address. release is called once the cache is no longer in
	// use.
	Fetch(ctx context.Context, address, endpoint, requestID string) (cache []byte, release func(), err error)
}

// pull imports a KV cache from another agent. The data is transferred directly
// between the two agents and never passes through an entry host.
func (a *Agent) pull(ctx context.Context, id string, m *wire.PullRequest, r *rpc.Responder) {
	if a.opts.Engine == nil || a.opts.KV == nil {
		r.Fail(verdict.Wrap(errNoEngine, verdict.NotRun, http.StatusServiceUnavailable, "not_an_engine", "the endpoint takes no KV cache"))
		return
	}
	value, release, err := a.opts.KV.Fetch(ctx, m.Agent, m.Endpoint, id)
	defer release()
	if err != nil {
		r.Fail(verdict.Wrap(err, verdict.NotRun, http.StatusServiceUnavailable, "kv_unavailable", "the KV cache could not be fetched"))
		return
	}
	if err := a.opts.Engine.ImportKV(ctx, m.Handle, value); err != nil {
		a.fail(r, err)
		return
	}
	a.stats.PulledKVBytes.Add(int64(len(value)))
	r.Send(&wire.AgentMessage{Body: &wire.AgentMessage_Pulled{Pulled: &wire.Pulled{Handle: m.Handle, Bytes: int64(len(value))}}})
}
