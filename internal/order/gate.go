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

// Gate is the agent's side: it decides whether an order reaches the engine.
type Gate struct {
	endpoint string
	store    backing.Store
	engine   backing.Engine
	// limit bounds the work of one order at the engine.
	limit time.Duration
	flaws flaws

	mu       sync.Mutex
	highest  int64
	inFlight string
}

// flaws break a gate on purpose, for tests that must notice.
type flaws struct {
	// trusting passes on whatever comes.
	trusting bool
}

// NewGate returns the gate of an endpoint. limit bounds one order's work at
// the engine.
func NewGate(endpoint string, store backing.Store, engine backing.Engine, limit time.Duration) *Gate {
	return &Gate{endpoint: endpoint, store: store, engine: engine, limit: limit}
}

// Status returns the highest fencing number seen and the order in flight.
func (g *Gate) Status() (fence int64, inFlight string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.highest, g.inFlight
}

// Order passes the order to the engine and returns once it is done, or says
// why it was not passed on. Before it acts it reads the endpoint's record: an
// agent that has just started, and one whose endpoint another agent took over,
// knows nothing else. An order that could not be passed on before its deadline
// is late and has no effect.
func (g *Gate) Order(ctx context.Context, m *wire.OrderRequest) *wire.OrderResponse {
	begun := time.Now()
	if !g.begin(m.Id) {
		return g.answer(resultBusy, "another order is in flight")
	}
	defer g.end()
	if refusal := g.check(ctx, m); refusal != nil && !g.flaws.trusting {
		return refusal
	}
	if time.Since(begun) >= time.Duration(m.DeadlineUs)*time.Microsecond {
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

// check returns nil if the store's record names this order under this fencing
// number, and the answer to give otherwise.
func (g *Gate) check(ctx context.Context, m *wire.OrderRequest) *wire.OrderResponse {
	intent, err := g.read(ctx, m)
	if err != nil {
		return g.answer(resultUnknown, "the order could not be verified: "+err.Error())
	}
	g.mu.Lock()
	g.highest = max(g.highest, intent.Fence)
	known := g.highest
	g.mu.Unlock()
	if m.Fence < known || intent.Fence != m.Fence {
		return g.answer(resultFenced, "the fencing number is not the endpoint's")
	}
	if intent.Order.ID != m.Id || intent.State != StateIntended {
		return g.answer(resultFenced, "the order is not the endpoint's last")
	}
	return nil
}

// read reads the endpoint's record before the order's deadline.
func (g *Gate) read(ctx context.Context, m *wire.OrderRequest) (Intent, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(m.DeadlineUs)*time.Microsecond)
	defer cancel()
	kv, err := g.store.Get(ctx, Key(g.endpoint))
	if err != nil {
		return Intent{}, err
	}
	return record.Decode[Intent](kv)
}

// apply gives the order to the engine. It is not interrupted when the holder's
// connection ends: an engine in the middle of a change is worse than one that
// has finished it.
func (g *Gate) apply(ctx context.Context, m *wire.OrderRequest) *wire.OrderResponse {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), g.limit)
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
		return g.answer(resultRefused, err.Error())
	default:
		return g.answer(resultUnknown, err.Error())
	}
}

func (g *Gate) answer(result, message string) *wire.OrderResponse {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &wire.OrderResponse{Result: result, Message: message, HighestFence: g.highest}
}
