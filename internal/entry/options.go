package entry

import (
	"context"
	"log/slog"
	"time"

	"github.com/acacialink/acacialink/internal/once"
	"github.com/acacialink/acacialink/internal/queue"
	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/route"
	"github.com/acacialink/acacialink/internal/rpc"
	"github.com/acacialink/acacialink/internal/snapshot"
)

// Config is the configuration that the host may use.
type Config interface {
	// Current returns the newest configuration of the host; never nil.
	Current() *snapshot.View
	// Use returns it for a request that needs a key, or a *verdict.Error that
	// is not-run while the host cannot confirm that it is current.
	Use() (*snapshot.View, error)
}

// Router picks endpoints.
type Router interface {
	// Pick chooses an endpoint, or fails with a *verdict.Error that is not-run.
	Pick(now time.Time, r *route.Request) (*route.Flight, error)
	// Predict returns the prompt tokens that an endpoint's cache will
	// probably serve.
	Predict(now time.Time, r *route.Request) int
	// Split chooses one endpoint for the prompt and one for the answer where
	// that pays.
	Split(now time.Time, r *route.Request) (prefill, decode *route.Flight, ok bool)
}

// Sessions gives access to endpoints' agents.
type Sessions interface {
	// Session returns the open session to an endpoint, or nil.
	Session(endpoint string) *rpc.Session
	// Agent returns the address of an endpoint's agent, empty when unknown.
	Agent(endpoint string) string
}

// Quota keeps workspaces within their rates.
type Quota interface {
	// Reserve takes tokens from the workspace's rate, or refuses with a
	// *verdict.Error that is not-run.
	Reserve(ctx context.Context, workspace string, spec resource.WorkspaceSpec, tokens int64) (Reservation, error)
}

// Reservation is a number of tokens taken in advance.
type Reservation interface {
	// Start is called just before the request is sent; it may refuse with a
	// *verdict.Error that is not-run.
	Start(ctx context.Context) error
	// Settle gives back what was not used; called once.
	Settle(used int64)
}

// Queue admits the requests of each model in a fair order.
type Queue interface {
	// Admit waits for the request's turn, or refuses with a *verdict.Error
	// that is not-run.
	Admit(ctx context.Context, model string, item queue.Item) (*queue.Ticket, error)
}

// Claims makes calls that must not be repeated run at most once.
type Claims interface {
	// Run sends the call unless its key was used before; see package once.
	Run(ctx context.Context, key once.Key, body once.BodyHash, send once.Send) (answer once.Response, replayed bool, err error)
}

// Usage records what workspaces used.
type Usage interface {
	Add(workspace, model string, prompt, output, cached, calls int64)
}

// Limits bounds callers' requests.
type Limits struct {
	// BodyBytes bounds a body, PromptBytes a prompt.
	BodyBytes, PromptBytes int64
	// BufferedBytes bounds the bodies of all requests being served.
	BufferedBytes int64
	// OpenRequests bounds the requests being served.
	OpenRequests int
}

// Timeouts bounds the waits of a request.
type Timeouts struct {
	// Body bounds the reading of a request's body.
	Body time.Duration
	// Write bounds one write to a caller.
	Write time.Duration
	// Queue bounds the wait for admission.
	Queue time.Duration
	// FirstToken and BetweenTokens bound an endpoint's silence.
	FirstToken, BetweenTokens time.Duration
	// Call bounds a call of a plain service.
	Call time.Duration
}

// Recorder takes latencies.
type Recorder interface {
	Record(d time.Duration)
}

// Latencies are where a server records how long callers wait. Each may be nil.
type Latencies struct {
	// FirstToken is from the start of a request to its first token, Call the
	// whole time of a call of a plain service.
	FirstToken, Call Recorder
}

// Options configure a Server.
type Options struct {
	Latencies Latencies
	Domain    string
	Config    Config
	Router    Router
	Sessions  Sessions
	Quota     Quota
	Queue     Queue
	Claims    Claims
	Usage     Usage
	Limits    Limits
	Timeouts  Timeouts
	// Attempts bounds the endpoints tried for one request.
	Attempts int
	Log      *slog.Logger
}
