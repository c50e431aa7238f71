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

// pickEndpoint chooses the endpoint for the next attempt. If the router decides to
// split, a prefill endpoint prefills the prompt and its KV cache is transferred to the
// decode endpoint. If that fails, one endpoint runs both phases.
func (g *generation) pickEndpoint(ctx context.Context) (*route.Flight, error) {
	g.kvHandle = ""
	request := g.routeRequest()
	others, _ := g.server.avoiding(time.Now(), request)
	prefill, decode, ok := g.server.opts.Router.Split(time.Now(), others)
	if !ok {
		return g.server.pick(request)
	}
	err := g.prefillAndTransfer(ctx, prefill, decode)
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
	return g.server.pick(request)
}

// prefillAndTransfer prefills the prompt on the prefill endpoint and makes the agent
// of the decode endpoint fetch the KV cache.
func (g *generation) prefillAndTransfer(ctx context.Context, prefill, decode *route.Flight) error {
	prefillMessage := g.generateMessage()
	prefillMessage.GetGenerate().PrefillOnly = true
	if err := g.roundTrip(ctx, prefill.Endpoint, prefillMessage); err != nil {
		return err
	}
	prefill.PrefillDone()
	return g.roundTrip(ctx, decode.Endpoint, &wire.EntryMessage{Body: &wire.EntryMessage_Pull{Pull: &wire.PullRequest{
		Handle:   g.id,
		Agent:    g.server.opts.Sessions.Agent(prefill.Endpoint),
		Endpoint: prefill.Endpoint,
	}}})
}

// roundTrip sends a message that has a single reply and waits for that reply.
func (g *generation) roundTrip(ctx context.Context, endpoint string, m *wire.EntryMessage) error {
	session := g.server.opts.Sessions.Session(endpoint)
	if session == nil {
		return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "session_closed", "the connection to the endpoint's agent is closed")
	}
	call, err := session.Open(g.id, m)
	if err != nil {
		return err
	}
	defer call.Cancel()
	reply, err := nextMessage(ctx, call, g.server.opts.Timeouts.FirstToken)
	if err != nil {
		return err
	}
	if failed := reply.GetFailed(); failed != nil {
		g.recordFailure(endpoint, failed, time.Time{})
		err := rpc.ErrorFromFailed(failed)
		g.server.noteFailure(endpoint, err)
		return err
	}
	return nil
}
