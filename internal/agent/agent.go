// Package agent implements the agent process that runs next to an endpoint.
// All requests and orders to the endpoint go through its agent: it forwards
// requests from entry processes, reports load, refuses stale orders, and drains
// the endpoint before a planned stop.
package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/rpc"
	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// Options configures an agent. Exactly one of Engine and Service must be set.
type Options struct {
	// Endpoint is the name of the endpoint. Domain is its failure domain.
	Endpoint, Domain string
	// Incarnation is unique to each start of the process.
	Incarnation string
	Engine      backing.Engine
	Service     backing.Service
	// KV fetches KV caches from other agents. If nil, pull requests are refused.
	KV KVSource
	// Orders executes orders. If nil, all orders fail.
	Orders OrderHandler
	// MaxInFlight is the maximum number of in-flight requests over all sessions.
	MaxInFlight int
	// CacheEvents is the maximum number of cache events in a state message.
	CacheEvents int
	// CallTimeout is the upper bound of a service call's timeout; a longer
	// timeout requested by the entry process is reduced to it.
	CallTimeout time.Duration
	// LoadInterval is the interval at which the engine's load is polled.
	LoadInterval time.Duration
	// LoadTimeout is the age of the last load report at which the endpoint is no
	// longer ready. It also bounds each poll of the engine.
	LoadTimeout time.Duration
	// LameDuck is the minimum time a draining agent keeps refusing late
	// requests before Drain returns.
	LameDuck time.Duration
	// RPC configures the sessions.
	RPC rpc.Options
}

// OrderHandler executes fenced orders at the endpoint.
type OrderHandler interface {
	// Execute returns once the order has been executed, refused or has timed out.
	Execute(ctx context.Context, o *wire.OrderRequest) *wire.OrderResponse
	// Status returns the highest fencing token seen and the ID of the order in
	// flight, or "" if there is none.
	Status() (fence int64, inFlight string)
}

// Default values of Options.
const (
	DefaultMaxInFlight  = 4096
	DefaultCacheEvents  = 256
	DefaultCallTimeout  = time.Minute
	DefaultLoadInterval = 250 * time.Millisecond
	DefaultLoadTimeout  = 2 * time.Second
	DefaultLameDuck     = 2 * time.Second
)

// Agent serves sessions and orders for one endpoint.
type Agent struct {
	opts     Options
	inFlight atomic.Int32
	stats    Stats

	mu       sync.Mutex
	draining bool
	report   engineReport
	// endedAt is when the engine was found to have ended; zero while it runs.
	endedAt time.Time
	changed chan struct{}
}

// New returns an agent. Fields of opts that are zero get their defaults. Run
// must be called to poll the engine's load.
func New(opts Options) *Agent {
	if opts.MaxInFlight == 0 {
		opts.MaxInFlight = DefaultMaxInFlight
	}
	if opts.CacheEvents == 0 {
		opts.CacheEvents = DefaultCacheEvents
	}
	if opts.CallTimeout == 0 {
		opts.CallTimeout = DefaultCallTimeout
	}
	if opts.LoadInterval == 0 {
		opts.LoadInterval = DefaultLoadInterval
	}
	if opts.LoadTimeout == 0 {
		opts.LoadTimeout = DefaultLoadTimeout
	}
	if opts.LameDuck == 0 {
		opts.LameDuck = DefaultLameDuck
	}
	return &Agent{opts: opts, changed: make(chan struct{})}
}

// Session serves one session of an entry process.
func (a *Agent) Session(stream wire.DRPCAgent_SessionStream) error {
	return rpc.ServeSession(stream, a, a.opts.RPC)
}

// Order executes an order at the endpoint. The error is always nil; refusals and
// failures are reported in the response.
func (a *Agent) Order(ctx context.Context, order *wire.OrderRequest) (*wire.OrderResponse, error) {
	if a.opts.Orders == nil {
		return &wire.OrderResponse{Result: "failed", Message: "this endpoint takes no orders"}, nil
	}
	response := a.opts.Orders.Execute(ctx, order)
	a.notify()
	return response, nil
}

// Describe returns the agent's state without cache events.
func (a *Agent) Describe(context.Context, *wire.DescribeRequest) (*wire.AgentState, error) {
	return a.State(noEvents), nil
}

// Stats returns the agent's counters.
func (a *Agent) Stats() *Stats { return &a.stats }
