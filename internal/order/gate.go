package order

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/record"
	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// Gate runs on the agent and decides whether an order reaches the engine. It is safe
// for concurrent use.
type Gate struct {
	endpoint string
	store    backing.Store
	engine   backing.Engine
	// timeout bounds the execution of one order at the engine.
	timeout time.Duration
	faults  faultInjection

	mu           sync.Mutex
	highestFence int64
	inFlight     string
}

// faultInjection disables parts of the gate, to verify that the tests detect the
// resulting faults.
type faultInjection struct {
	// skipCheck passes on orders that fail the check against the store.
	skipCheck bool
}

// NewGate returns the gate of an endpoint. timeout bounds the execution of one order
// at the engine.
func NewGate(endpoint string, store backing.Store, engine backing.Engine, timeout time.Duration) *Gate {
	return &Gate{endpoint: endpoint, store: store, engine: engine, timeout: timeout}
}

// Status returns the highest fencing token read from the store and the ID of the
// order in flight, or "" if there is none.
func (g *Gate) Status() (fence int64, inFlight string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.highestFence, g.inFlight
}

// Execute passes the order to the engine and returns once it is done, or returns why it
// was not passed on. It first checks the order against the endpoint's record in the
// store, since an agent that has restarted or has taken over the endpoint has no other
// knowledge of earlier orders. The result is "late" if the deadline has passed after
// the check, and "unknown" if the record could not be read before the deadline; in
// both cases the order has no effect.
func (g *Gate) Execute(ctx context.Context, m *wire.OrderRequest) *wire.OrderResponse {
	start := time.Now()
	if !g.begin(m.Id) {
		return g.answer(resultBusy, "another order is in flight")
	}
	defer g.end()
	if refusal := g.check(ctx, m); refusal != nil && !g.faults.skipCheck {
		return refusal
	}
	if time.Since(start) >= time.Duration(m.DeadlineUs)*time.Microsecond {
		return g.answer(resultLate, "the order could not be passed on in time")
	}
	return g.apply(ctx, m)
}

func (g *Gate) begin(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inFlight != "" {
		return false
	}
	g.inFlight = id
	return true
}

func (g *Gate) end() {
	g.mu.Lock()
	g.inFlight = ""
	g.mu.Unlock()
}

// check returns nil if the endpoint's record names this order and its fencing token,
// and otherwise the answer to return.
func (g *Gate) check(ctx context.Context, m *wire.OrderRequest) *wire.OrderResponse {
	intent, err := g.read(ctx, m)
	if err != nil {
		return g.answer(resultUnknown, "the order could not be verified: "+err.Error())
	}
	g.mu.Lock()
	g.highestFence = max(g.highestFence, intent.Fence)
	highestFence := g.highestFence
	g.mu.Unlock()
	if m.Fence < highestFence || intent.Fence != m.Fence {
		return g.answer(resultFenced, "the fencing number is not the endpoint's")
	}
	if intent.Order.ID != m.Id || intent.State != StateIntended {
		return g.answer(resultFenced, "the order is not the endpoint's last")
	}
	return nil
}

// read reads the endpoint's record. It stops at the order's deadline.
func (g *Gate) read(ctx context.Context, m *wire.OrderRequest) (Intent, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(m.DeadlineUs)*time.Microsecond)
	defer cancel()
	kv, err := g.store.Get(ctx, Key(g.endpoint))
	if err != nil {
		return Intent{}, err
	}
	return record.Decode[Intent](kv)
}

// apply passes the order to the engine. It is not canceled when the issuer's connection
// ends, since an interrupted change leaves the engine in a worse state than a completed
// one.
func (g *Gate) apply(ctx context.Context, m *wire.OrderRequest) *wire.OrderResponse {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), g.timeout)
	defer cancel()
	err := g.engine.Apply(ctx, backing.Order{
		ID:      m.Id,
		Fence:   m.Fence,
		Kind:    backing.OrderKind(m.Kind),
		Role:    backing.Role(m.Role),
		Model:   m.Model,
		Adapter: m.Adapter,
		Issuer:  m.Issuer,
	})
	switch {
	case err == nil:
		return g.answer(resultDone, "")
	case errors.Is(err, backing.ErrFenced):
		return g.answer(resultFenced, err.Error())
	case errors.Is(err, backing.ErrRejected), errors.Is(err, backing.ErrUnavailable):
		return g.answer(resultFailed, err.Error())
	default:
		return g.answer(resultUnknown, err.Error())
	}
}

func (g *Gate) answer(result, message string) *wire.OrderResponse {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &wire.OrderResponse{Result: result, Message: message, HighestFence: g.highestFence}
}
