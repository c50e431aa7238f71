package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/acacialink/acacialink/internal/route"
	"github.com/acacialink/acacialink/internal/rpc"
	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/verdict"
)

// pick chooses the endpoint for the next attempt. Where it pays, the prompt
// runs at another endpoint first and its KV cache is moved; when that fails,
// one endpoint does both.
func (g *generation) pick(ctx context.Context) (*route.Flight, error) {
	g.kvHandle = ""
	request := g.routeRequest()
	prefill, decode, ok := g.server.opts.Router.Split(time.Now(), request)
	if !ok {
		return g.server.opts.Router.Pick(time.Now(), request)
	}
	err := g.prefillAndMove(ctx, prefill, decode)
	prefill.Done(-1)
	if err == nil {
		g.server.stats.Split.Add(1)
		g.kvHandle = g.id
		return decode, nil
	}
	decode.Done(-1)
	g.server.stats.SplitFailed.Add(1)
	if verdict.Of(err) != verdict.NotRun {
		g.mayHaveRun = true
	}
	return g.server.opts.Router.Pick(time.Now(), request)
}

// prefillAndMove runs the prompt at one endpoint and lets the other's agent
// fetch the KV cache.
func (g *generation) prefillAndMove(ctx context.Context, prefill, decode *route.Flight) error {
	first := g.request()
	first.GetGenerate().PrefillOnly = true
	if err := g.callOnce(ctx, prefill.Endpoint, first); err != nil {
		return err
	}
	prefill.Prefilled()
	return g.callOnce(ctx, decode.Endpoint, &wire.EntryMessage{Body: &wire.EntryMessage_Pull{Pull: &wire.PullRequest{
		Handle:   g.id,
		Agent:    g.server.opts.Sessions.Agent(prefill.Endpoint),
		Endpoint: prefill.Endpoint,
	}}})
}

// callOnce sends a message and returns once the one message that answers it
// says that it is done.
func (g *generation) callOnce(ctx context.Context, endpoint string, m *wire.EntryMessage) error {
	session := g.server.opts.Sessions.Session(endpoint)
	if session == nil {
		return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "session_closed", "the connection to the endpoint's agent is closed")
	}
	call, err := session.Open(g.id, m)
	if err != nil {
		return err
	}
	defer call.Cancel()
	answer, err := nextWithin(ctx, call, g.server.opts.Timeouts.FirstToken)
	if err != nil {
		return err
	}
	if failed := answer.GetFailed(); failed != nil {
		return rpc.Failure(failed)
	}
	return nil
}
