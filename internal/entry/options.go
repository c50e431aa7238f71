package entry

import (
	"context"
	"log/slog"
	"time"

	"github.com/acacialink/acacialink/internal/bodybudget"
	"github.com/acacialink/acacialink/internal/idempotency"
	"github.com/acacialink/acacialink/internal/queue"
	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/route"
	"github.com/acacialink/acacialink/internal/rpc"
	"github.com/acacialink/acacialink/internal/snapshot"
	"github.com/acacialink/acacialink/internal/suspect"
	"github.com/acacialink/acacialink/internal/termination"
)

// Config gives access to the configuration of the host.
type Config interface {
	// Current returns the newest configuration known to the host; never nil.
	Current() *snapshot.View
	// FreshView returns the configuration for a request that requires an API key.
	// While the host cannot confirm that it is current, FreshView fails with a
	// *verdict.Error that is not-run.
	FreshView() (*snapshot.View, error)
}

// Router chooses endpoints for requests.
type Router interface {
	// Pick chooses an endpoint, or fails with a *verdict.Error that is not-run.
	Pick(now time.Time, r *route.Request) (*route.Flight, error)
	// PredictCachedTokens returns the number of prompt tokens that are expected to be
	// cached at the endpoint.
	PredictCachedTokens(now time.Time, r *route.Request) int
	// Split chooses separate endpoints for prefill and decode. ok is false if a
	// split is not worthwhile.
	Split(now time.Time, r *route.Request) (prefill, decode *route.Flight, ok bool)
}

// Sessions gives access to the sessions with the endpoints' agents.
type Sessions interface {
	// Session returns the open session to an endpoint, or nil.
	Session(endpoint string) *rpc.Session
	// Agent returns the address of an endpoint's agent, or "" if it is unknown.
	Agent(endpoint string) string
}

// Quota enforces the token rates of workspaces.
type Quota interface {
	// Reserve reserves tokens of the workspace's rate, or fails with a
	// *verdict.Error that is not-run.
	Reserve(ctx context.Context, workspace string, spec resource.WorkspaceSpec, tokens int64) (Reservation, error)
}

// Reservation is a number of tokens reserved before a request runs.
type Reservation interface {
	// Start is called just before the request is sent. It may fail with a
	// *verdict.Error that is not-run.
	Start(ctx context.Context) error
	// Settle refunds the tokens beyond those used. It is called once.
	Settle(used int64)
}

// Queue admits the requests for each model in a fair order.
type Queue interface {
	// Admit waits until the request is admitted, or fails with a *verdict.Error
	// that is not-run.
	Admit(ctx context.Context, model string, item queue.Item) (*queue.Ticket, error)
}

// Claims runs non-idempotent calls at most once.
type Claims interface {
	// Run sends the call unless its key was already used. replayed is true if the
	// response is that of an earlier run. See package idempotency.
	Run(ctx context.Context, key idempotency.Key, body idempotency.BodyHash, send idempotency.Send) (response idempotency.Response, replayed bool, err error)
}

// Usage records the consumption of workspaces.
type Usage interface {
	// Add counts prompt, output and cached tokens, and a number of calls.
	Add(workspace, model string, prompt, output, cached, calls int64)
}

// Limits are the limits on callers' requests.
type Limits struct {
	// BodyBytes is the maximum size of a request body. PromptBytes is the maximum
	// size of a prompt.
	BodyBytes, PromptBytes int64
	// BufferedBytes is the maximum total size of the bodies of all requests in
	// progress; 0 means no limit.
	BufferedBytes int64
	// OpenRequests is the maximum number of requests in progress; 0 means no
	// limit.
	OpenRequests int
}

// Timeouts are the timeouts of the phases of a request.
type Timeouts struct {
	// Body limits the time to read a request body.
	Body time.Duration
	// Write limits the time of one write to a caller.
	Write time.Duration
	// Queue limits the wait for admission.
	Queue time.Duration
	// FirstToken limits the wait for the first token of an endpoint. BetweenTokens
	// limits the wait for each further token.
	FirstToken, BetweenTokens time.Duration
	// Call limits a call to a service whose route sets no timeout.
	Call time.Duration
}

// Recorder records latencies.
type Recorder interface {
	Record(d time.Duration)
}

// Latencies are the latency recorders of a server. Each may be nil.
type Latencies struct {
	// FirstToken records the time from the start of a request to its first token.
	// Call records the total time of a successful call to a service.
	FirstToken, Call Recorder
}

// Options configures a Server.
type Options struct {
	Latencies Latencies
	// Domain is the failure domain of the host.
	Domain   string
	Config   Config
	Router   Router
	Sessions Sessions
	Quota    Quota
	Queue    Queue
	Claims   Claims
	Usage    Usage
	Limits   Limits
	Timeouts Timeouts
	// Suspects holds back prompts with a part that crashes engines; nil for a ledger of
	// this server alone. Leads reports whether this host tries such a part again; nil
	// for always.
	Suspects *suspect.Ledger
	Leads    func() bool
	// Answers bounds the answers of endpoints that the process holds; nil for no bound.
	Answers *bodybudget.Shares
	// Stop is how far the stop of the host is; nil for a host that does not stop.
	Stop *termination.State
	// MaxAttempts is the maximum number of attempts of one request before its first
	// token; 0 means DefaultMaxAttempts.
	MaxAttempts int
	// Log may be nil.
	Log *slog.Logger
}
