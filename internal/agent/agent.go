// Package agent is the small process beside an endpoint. It is the only way
// to its endpoint, for requests and for orders: it forwards requests from
// entry processes, reports load, refuses orders that are out of date, and
// drains the endpoint before a planned stop.
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

// Options configure an agent. Exactly one of Engine and Service is set.
type Options struct {
	// Endpoint is the endpoint's name, Domain its failure domain.
	Endpoint, Domain string
	// Incarnation differs for each start of the process.
	Incarnation string
	Engine      backing.Engine
	Service     backing.Service
	// KV fetches KV caches from other agents; nil refuses to.
	KV KVSource
	// Orders decides about orders; nil refuses all.
	Orders Orders
	// MaxInFlight bounds the requests of all sessions together.
	MaxInFlight int
	// CacheEvents bounds the cache events that a state carries.
	CacheEvents int
	// CallTimeout bounds a plain call, whatever the entry allows it.
	CallTimeout time.Duration
	// LoadInterval is how often the engine is asked for its load.
	LoadInterval time.Duration
	// StaleLoad is the age of the last answer of the engine at which the
	// endpoint counts as not ready.
	StaleLoad time.Duration
	// LameDuck is how long a drained agent still refuses late requests.
	LameDuck time.Duration
	// RPC bounds the sessions.
	RPC rpc.Options
}

// Orders gives fenced orders to the endpoint.
type Orders interface {
	// Order returns once the order is done, refused or late.
	Order(ctx context.Context, o *wire.OrderRequest) *wire.OrderResponse
	// Status returns the highest fencing number seen and the order in flight.
	Status() (fence int64, inFlight string)
}

// The defaults of Options.
const (
	DefaultMaxInFlight  = 4096
	DefaultCacheEvents  = 256
	DefaultCallTimeout  = time.Minute
	DefaultLoadInterval = 250 * time.Millisecond
	DefaultStaleLoad    = 2 * time.Second
	DefaultLameDuck     = 2 * time.Second
)

// Agent serves sessions and orders for one endpoint.
type Agent struct {
	opts     Options
	inFlight atomic.Int32
	stats    Stats

	mu       sync.Mutex
	draining bool
	report   report
	changed  chan struct{}
}

// New returns an agent; Run keeps its view of the engine current.
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
	if opts.StaleLoad == 0 {
		opts.StaleLoad = DefaultStaleLoad
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

// Order gives an order to the endpoint.
func (a *Agent) Order(ctx context.Context, o *wire.OrderRequest) (*wire.OrderResponse, error) {
	if a.opts.Orders == nil {
		return &wire.OrderResponse{Result: "failed", Message: "this endpoint takes no orders"}, nil
	}
	response := a.opts.Orders.Order(ctx, o)
	a.notify()
	return response, nil
}

// Describe returns the agent's state.
func (a *Agent) Describe(context.Context, *wire.DescribeRequest) (*wire.AgentState, error) {
	return a.State(noEvents), nil
}

// Stats returns the agent's counters.
func (a *Agent) Stats() *Stats { return &a.stats }
