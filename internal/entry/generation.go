package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/bodybudget"
	"github.com/acacialink/acacialink/internal/queue"
	"github.com/acacialink/acacialink/internal/route"
	"github.com/acacialink/acacialink/internal/rpc"
	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/verdict"
)

// generation is one model response. It may run on several endpoints in turn if
// endpoints fail.
type generation struct {
	server    *Server
	id        string
	startedAt time.Time
	caller    Caller
	class     queue.Class
	ticket    *queue.Ticket

	model, adapter string
	prompt         string
	prefixHashes   []uint64
	promptTokens   int
	maxTokens      int

	sink responseSink
	// excluded holds the endpoints that the router must skip: those that failed and
	// the one in use.
	excluded map[string]struct{}
	// deliveredTokens counts the tokens written to the sink.
	deliveredTokens int
	// held is the memory of the sink, by the endpoint whose tokens it took it for.
	held         map[string]*bodybudget.Reservation
	cachedTokens int
	finished     *wire.Finished
	// kvHandle identifies the KV cache transferred to the endpoint; empty if the
	// endpoint prefills the prompt itself.
	kvHandle string
	// mayHaveRun is set once an endpoint may have executed the request.
	mayHaveRun bool
	// ended counts the engines that ended under the generation. mayBeDeadly is set once
	// it may be the cause, tries if it was chosen to try a part of a prompt again.
	ended              int
	mayBeDeadly, tries bool
}

// errCallerGone ends a generation whose caller disconnected or stopped reading.
// errCallerStopped is the latter.
var (
	errCallerGone    = errors.New("caller disconnected")
	errCallerStopped = errors.Wrap(errCallerGone, "no write to the caller within its time")
)

// resumeRetryInterval is the pause before a started response retries endpoints that
// failed. Retries continue for up to Timeouts.BetweenTokens.
const resumeRetryInterval = 100 * time.Millisecond

// billable reports whether an endpoint executed, or may have executed, the request.
func (g *generation) billable() bool { return g.finished != nil || g.mayHaveRun }

// maxUndeliveredTokens is an upper bound on the tokens that an engine generates after
// the last one received: the agent detects a lost session and cancels its work
// within that time.
const maxUndeliveredTokens = 128

// consumedTokens returns the number of tokens charged to the workspace's quota. For a
// truncated response, up to maxUndeliveredTokens are added for tokens that the engine
// may have generated without delivering them.
func (g *generation) consumedTokens() int64 {
	switch {
	case !g.billable():
		return 0
	case g.finished != nil:
		return int64(g.promptTokens + g.deliveredTokens)
	default:
		return int64(g.promptTokens + min(g.maxTokens, g.deliveredTokens+maxUndeliveredTokens))
	}
}

// run retries until the response is complete, an error is final or the limits on
// retries are reached. A generation may be retried safely: the next endpoint resumes
// after the tokens already delivered.
func (g *generation) run(ctx context.Context) error {
	g.server.retries.deposit()
	var lastErr error
	var resumeDeadline time.Time
	resumedAt := 0
	for attempt := 1; ; attempt++ {
		err := g.checkPrompt()
		if err != nil {
			return g.finalError(err)
		}
		flight, err := g.pickEndpoint(ctx)
		if err == nil {
			err = g.attempt(ctx, flight)
		}
		if err != nil && g.mayBeDeadly {
			return g.finalError(err)
		}
		if err == nil || errors.Is(err, errCallerGone) {
			return err
		}
		if ctx.Err() != nil {
			return g.finalError(err)
		}
		lastErr = firstSpecificError(lastErr, err)
		if g.deliveredTokens > 0 {
			if g.deliveredTokens > resumedAt {
				// A failure after further tokens starts a new resume deadline.
				resumedAt = g.deliveredTokens
				resumeDeadline = time.Now().Add(g.server.opts.Timeouts.BetweenTokens)
			}
			if !g.mayResume(ctx, err, resumeDeadline) {
				return g.finalError(lastErr)
			}
			continue
		}
		if attempt >= g.server.opts.MaxAttempts || isNoEndpoint(err) || !g.server.retries.withdraw() {
			return g.finalError(lastErr)
		}
		g.server.stats.Retries.Add(1)
	}
}

// codeSlowCaller is the code of answers that were cut because the caller reads too slowly.
const codeSlowCaller = "slow_caller"

// slowCallerPause is the mean pause before a response is resumed whose caller read too
// slowly. It is spread, since callers that wait on one network turn slow together.
const slowCallerPause = 500 * time.Millisecond

// mayResume reports whether a started response may resume on another endpoint. When
// no endpoint is left, it clears the excluded ones and waits for
// resumeRetryInterval, so that all are tried again.
func (g *generation) mayResume(ctx context.Context, err error, deadline time.Time) bool {
	if time.Now().After(deadline) {
		return false
	}
	if verdict.As(err).Code == codeSlowCaller {
		g.server.stats.Resumed.Add(1)
		return backing.Pause(ctx, rand.N(2*slowCallerPause))
	}
	if !isNoEndpoint(err) {
		g.server.stats.Resumed.Add(1)
		return true
	}
	clear(g.excluded)
	return backing.Pause(ctx, resumeRetryInterval)
}

// firstSpecificError returns the first error of several attempts that is not
// "no endpoint available", since any other error explains the failure better. last is
// its previous result, or nil.
func firstSpecificError(last, err error) error {
	if last == nil || isNoEndpoint(last) {
		return err
	}
	return last
}

func isNoEndpoint(err error) bool { return verdict.As(err).Code == "no_endpoint" }

// finalError returns the error for the caller. Its verdict is not-run only if no
// attempt may have run.
func (g *generation) finalError(err error) error {
	e := *verdict.As(err)
	if g.mayHaveRun && e.Verdict == verdict.NotRun {
		e.Verdict = verdict.MayHaveRun
		e.Status = http.StatusBadGateway
	}
	return &e
}

// attempt runs the generation on one endpoint.
func (g *generation) attempt(ctx context.Context, flight *route.Flight) error {
	cached := -1
	defer func() { flight.Done(cached) }()
	g.excluded[flight.Endpoint] = struct{}{}
	session := g.server.opts.Sessions.Session(flight.Endpoint)
	if session == nil {
		return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "session_closed", "the connection to the endpoint's agent is closed")
	}
	call, err := session.Open(g.id, g.generateMessage())
	if err != nil {
		return err
	}
	defer call.Cancel()
	err = g.stream(ctx, call, flight)
	g.server.noteFailure(flight.Endpoint, err)
	if err == nil {
		cached = int(g.finished.CachedTokens)
		g.cachedTokens = cached
	}
	if err == nil || verdict.As(err).Code == codeSlowCaller {
		delete(g.excluded, flight.Endpoint)
	}
	if verdict.Of(err) != verdict.NotRun {
		g.mayHaveRun = true
	}
	return err
}

func (g *generation) generateMessage() *wire.EntryMessage {
	return &wire.EntryMessage{Body: &wire.EntryMessage_Generate{Generate: &wire.GenerateRequest{
		Model:     g.model,
		Adapter:   g.adapter,
		Priority:  int32(enginePriority(g.class)),
		Prompt:    g.prompt,
		MaxTokens: int32(g.maxTokens),
		Resume:    int32(g.deliveredTokens),
		KvHandle:  g.kvHandle,
		Workspace: g.caller.Workspace,
	}}}
}

// stream forwards the endpoint's tokens to the sink until the response ends.
func (g *generation) stream(ctx context.Context, call *rpc.Call, flight *route.Flight) error {
	timeout := g.server.opts.Timeouts.FirstToken
	sampler := tokenGapSampler{flight: flight}
	var begun time.Time
	for {
		m, err := nextMessage(ctx, call, timeout)
		if err != nil {
			return err
		}
		if failed := m.GetFailed(); failed != nil {
			g.recordFailure(flight.Endpoint, failed, begun)
			return rpc.ErrorFromFailed(failed)
		}
		if finished := m.GetFinished(); finished != nil {
			g.recordAnswered(flight.Endpoint, begun)
			return g.recordFinish(finished)
		}
		if begun.IsZero() {
			begun = time.Now()
			g.recordFirstTokenLatency()
			flight.PrefillDone()
			g.ticket.PrefillDone()
		}
		sampler.add(len(m.GetTokens().GetTexts()))
		if err := g.deliver(m.GetTokens(), flight.Endpoint); err != nil {
			return err
		}
		timeout = g.server.opts.Timeouts.BetweenTokens
	}
}

// recordFirstTokenLatency records the time to the first token, once per response.
func (g *generation) recordFirstTokenLatency() {
	if recorder := g.server.opts.Latencies.FirstToken; recorder != nil && g.deliveredTokens == 0 {
		recorder.Record(time.Since(g.startedAt))
	}
}

// nextMessage returns the next message of the call, or an error if none arrives
// within the timeout. It returns the error of ctx if it is done.
func nextMessage(ctx context.Context, call *rpc.Call, timeout time.Duration) (*wire.AgentMessage, error) {
	m, err := call.NextWithin(ctx, timeout)
	if err == nil {
		return m, nil
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if errors.Is(err, rpc.ErrReceiveTimeout) {
		return nil, verdict.Wrap(err, verdict.MayHaveRun, http.StatusGatewayTimeout, "endpoint_silent", "the endpoint sent nothing in time")
	}
	return nil, err
}

// deliver writes the tokens to the sink in order and skips those that were already
// delivered. A gap in the token indices is an error.
func (g *generation) deliver(tokens *wire.Tokens, endpoint string) error {
	first := int(tokens.GetFirst())
	if tokens == nil || first > g.deliveredTokens {
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "token_gap", "the endpoint left out a part of the answer")
	}
	texts := tokens.Texts
	if duplicates := g.deliveredTokens - first; duplicates > 0 {
		texts = texts[min(duplicates, len(texts)):]
	}
	if len(texts) == 0 {
		return nil
	}
	if g.deliveredTokens+len(texts) > g.maxTokens {
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, codeAnswerTooLong, "the endpoint sent more tokens than were asked for")
	}
	if !g.hold(endpoint, texts) {
		return verdict.Wrap(bodybudget.ErrExhausted, verdict.MayHaveRun, http.StatusBadGateway, codeAnswersFull, "the endpoint's answers take more memory than they may")
	}
	if err := g.sink.writeTokens(texts); err != nil {
		return callerError(err)
	}
	g.deliveredTokens += len(texts)
	g.server.stats.Tokens.Add(int64(len(texts)))
	return nil
}

// hold reserves what the sink takes for tokens of the endpoint. It reports false if the
// endpoint's part of the budget is exhausted.
func (g *generation) hold(endpoint string, texts []string) bool {
	size := g.sink.growth(texts)
	if size <= 0 {
		return true
	}
	if g.held[endpoint] == nil {
		if g.held == nil {
			g.held = make(map[string]*bodybudget.Reservation)
		}
		g.held[endpoint] = g.server.opts.Answers.NewReservation(endpoint)
	}
	return g.held[endpoint].Grow(size) == nil
}

// textBytes returns the length of the texts together.
func textBytes(texts []string) int {
	size := 0
	for _, text := range texts {
		size += len(text)
	}
	return size
}

// release returns the memory of the response.
func (g *generation) release() {
	for _, reservation := range g.held {
		reservation.Release()
	}
}

// recordFinish checks that the endpoint's token count equals the delivered tokens and
// stores the final message.
func (g *generation) recordFinish(finished *wire.Finished) error {
	if int(finished.OutputTokens) != g.deliveredTokens {
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "answer_truncated", "the answer ended before its last token")
	}
	g.finished = finished
	return nil
}
