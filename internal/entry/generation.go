package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/queue"
	"github.com/acacialink/acacialink/internal/route"
	"github.com/acacialink/acacialink/internal/rpc"
	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/verdict"
)

// generation is one answer of a model, over as many endpoints as it takes.
type generation struct {
	server *Server
	id     string
	begun  time.Time
	caller Caller
	class  queue.Class
	ticket *queue.Ticket

	model, adapter string
	prompt         string
	prefix         []uint64
	promptTokens   int
	maxTokens      int

	sink sink
	// exclude holds the endpoints that failed.
	exclude map[string]struct{}
	// delivered counts tokens given to the sink.
	delivered int
	cached    int
	finished  *wire.Finished
	// kvHandle names the KV cache that was moved to the endpoint, empty for none.
	kvHandle string
	// mayHaveRun is set once an endpoint may have worked on the request.
	mayHaveRun bool
}

// errCallerGone ends a generation whose caller left or reads no more.
var errCallerGone = errors.New("caller is gone")

// resumePause is the pause before an answer that has begun tries endpoints
// again that failed. It goes on for as long as a caller may see no token.
const resumePause = 100 * time.Millisecond

func (g *generation) ran() bool { return g.finished != nil || g.mayHaveRun }

// unseenTokens bounds what an engine generates after the last token that the
// host saw: a lost session is noticed and its work canceled within that time.
const unseenTokens = 128

// used is the number of tokens that count against the workspace's rate. An
// answer that was cut counts as if the engine had gone on for a while.
func (g *generation) used() int64 {
	switch {
	case !g.ran():
		return 0
	case g.finished != nil:
		return int64(g.promptTokens + g.delivered)
	default:
		return int64(g.promptTokens + min(g.maxTokens, g.delivered+unseenTokens))
	}
}

// run generates until the answer is complete. A generation may be repeated
// freely: an endpoint goes on from the tokens that the caller already has.
func (g *generation) run(ctx context.Context) error {
	g.server.retry.earn()
	var last error
	var resumeUntil time.Time
	resumedAt := 0
	for attempt := 1; ; attempt++ {
		flight, err := g.pick(ctx)
		if err == nil {
			err = g.attempt(ctx, flight)
		}
		if err == nil || errors.Is(err, errCallerGone) || ctx.Err() != nil {
			return err
		}
		last = firstOf(last, err)
		if g.delivered > 0 {
			if g.delivered > resumedAt {
				// Each loss after further tokens has the whole time again.
				resumedAt = g.delivered
				resumeUntil = time.Now().Add(g.server.opts.Timeouts.BetweenTokens)
			}
			if !g.mayResume(ctx, err, resumeUntil) {
				return g.failure(last)
			}
			continue
		}
		if attempt >= g.server.opts.Attempts || isNoEndpoint(err) || !g.server.retry.spend() {
			return g.failure(last)
		}
		g.server.stats.Retries.Add(1)
	}
}

// mayResume says whether an answer that has begun goes on elsewhere. When
// every endpoint has failed, it tries them all again after a pause.
func (g *generation) mayResume(ctx context.Context, err error, until time.Time) bool {
	if time.Now().After(until) {
		return false
	}
	if !isNoEndpoint(err) {
		g.server.stats.Resumed.Add(1)
		return true
	}
	clear(g.exclude)
	return backing.Pause(ctx, resumePause)
}

// firstOf keeps the error that says most: the first that is not a mere lack
// of endpoints.
func firstOf(last, err error) error {
	if last == nil || isNoEndpoint(last) {
		return err
	}
	return last
}

func isNoEndpoint(err error) bool { return verdict.As(err).Code == "no_endpoint" }

// failure is what the caller is told: not-run only if that holds for every attempt.
func (g *generation) failure(err error) error {
	e := *verdict.As(err)
	if g.mayHaveRun && e.Verdict == verdict.NotRun {
		e.Verdict = verdict.MayHaveRun
		e.Status = http.StatusBadGateway
	}
	return &e
}

// attempt runs the generation at one endpoint.
func (g *generation) attempt(ctx context.Context, flight *route.Flight) error {
	cached := -1
	defer func() { flight.Done(cached) }()
	g.exclude[flight.Endpoint] = struct{}{}
	session := g.server.opts.Sessions.Session(flight.Endpoint)
	if session == nil {
		return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "session_closed", "the connection to the endpoint's agent is closed")
	}
	call, err := session.Open(g.id, g.request())
	if err != nil {
		return err
	}
	defer call.Cancel()
	err = g.stream(ctx, call, flight)
	if err == nil {
		cached = int(g.finished.CachedTokens)
		g.cached = cached
		delete(g.exclude, flight.Endpoint)
	}
	if verdict.Of(err) != verdict.NotRun {
		g.mayHaveRun = true
	}
	return err
}

func (g *generation) request() *wire.EntryMessage {
	return &wire.EntryMessage{Body: &wire.EntryMessage_Generate{Generate: &wire.GenerateRequest{
		Model:     g.model,
		Adapter:   g.adapter,
		Priority:  int32(enginePriority(g.class)),
		Prompt:    g.prompt,
		MaxTokens: int32(g.maxTokens),
		Resume:    int32(g.delivered),
		KvHandle:  g.kvHandle,
		Workspace: g.caller.Workspace,
	}}}
}

// stream gives the endpoint's tokens to the sink until the answer ends.
func (g *generation) stream(ctx context.Context, call *rpc.Call, flight *route.Flight) error {
	wait := g.server.opts.Timeouts.FirstToken
	pace := pace{flight: flight}
	prefilled := false
	for {
		m, err := nextWithin(ctx, call, wait)
		if err != nil {
			return err
		}
		if failed := m.GetFailed(); failed != nil {
			return rpc.Failure(failed)
		}
		if finished := m.GetFinished(); finished != nil {
			return g.end(finished)
		}
		if !prefilled {
			prefilled = true
			g.noteFirstToken()
			flight.Prefilled()
			g.ticket.Prefilled()
		}
		pace.add(len(m.GetTokens().GetTexts()))
		if err := g.deliver(m.GetTokens()); err != nil {
			return err
		}
		wait = g.server.opts.Timeouts.BetweenTokens
	}
}

// noteFirstToken records the wait for the first token, once an answer.
func (g *generation) noteFirstToken() {
	if r := g.server.opts.Latencies.FirstToken; r != nil && g.delivered == 0 {
		r.Record(time.Since(g.begun))
	}
}

// nextWithin waits for the next message for at most the given time.
func nextWithin(ctx context.Context, call *rpc.Call, wait time.Duration) (*wire.AgentMessage, error) {
	m, err := call.NextWithin(ctx, wait)
	if err == nil {
		return m, nil
	}
	if ctx.Err() != nil {
		return nil, errCallerGone
	}
	if errors.Is(err, rpc.ErrWait) {
		return nil, verdict.Wrap(err, verdict.MayHaveRun, http.StatusGatewayTimeout, "endpoint_silent", "the endpoint sent nothing in time")
	}
	return nil, err
}

// deliver gives tokens to the sink once each, in order.
func (g *generation) deliver(tokens *wire.Tokens) error {
	first := int(tokens.GetFirst())
	if tokens == nil || first > g.delivered {
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "token_gap", "the endpoint left out a part of the answer")
	}
	texts := tokens.Texts
	if known := g.delivered - first; known > 0 {
		texts = texts[min(known, len(texts)):]
	}
	if len(texts) == 0 {
		return nil
	}
	if err := g.sink.tokens(texts); err != nil {
		return errCallerGone
	}
	g.delivered += len(texts)
	g.server.stats.Tokens.Add(int64(len(texts)))
	return nil
}

// end checks that the endpoint's count of the answer is what was delivered.
func (g *generation) end(finished *wire.Finished) error {
	if int(finished.OutputTokens) != g.delivered {
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "answer_truncated", "the answer ended before its last token")
	}
	g.finished = finished
	return nil
}
