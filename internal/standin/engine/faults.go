package engine

import (
	"context"
	"slices"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/pkg/errors"
)

var errCrashed = errors.Wrap(backing.ErrUnknown, "engine crashed")

// Faults are the engine's fault switches, as PUT /faults takes them. The zero
// value is a healthy engine.
type Faults struct {
	// Crashed breaks all streams and closes each connection without an answer.
	// Switching it off is a restart: models, roles and fencing number are as at
	// the start, caches are empty.
	Crashed bool `json:"crashed,omitempty"`
	// Hung stops steps, heartbeats and answers; nothing is closed.
	Hung bool `json:"hung,omitempty"`
	// SlowFactor above 1 makes each step take that much longer.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// RefuseOrders rejects orders.
	RefuseOrders bool `json:"refuse_orders,omitempty"`
	// LoseOrderAnswers is how many orders take effect without an answer.
	LoseOrderAnswers int `json:"lose_order_answers,omitempty"`
	// CrashMidOrder crashes the engine half-way through the next order.
	CrashMidOrder bool `json:"crash_mid_order,omitempty"`
	// CacheEventLoss is the share of cache events that are never reported.
	CacheEventLoss float64 `json:"cache_event_loss,omitempty"`
}

// Faults returns the switches as they are.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetFaults replaces the switches.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.faults
	e.faults = f
	if old.Hung != f.Hung {
		close(e.hung)
		e.hung = make(chan struct{})
	}
	if f.Crashed && !old.Crashed {
		e.crash()
	}
}

// crash ends all work and forgets all state. Called with mu held.
func (e *Engine) crash() {
	e.faults.Crashed = true
	for _, s := range append(slices.Clone(e.waiting), e.running...) {
		s.out = nil
		s.end(errCrashed)
	}
	close(e.life)
	e.life = make(chan struct{})
	e.looping = false
	e.reset()
}

// holdIfHung keeps a call to a hung engine until the engine goes on or the
// caller gives up.
func (e *Engine) holdIfHung(ctx context.Context) error {
	for {
		e.mu.Lock()
		hung, changed := e.faults.Hung, e.hung
		e.mu.Unlock()
		if !hung {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Wrap(backing.ErrUnknown, ctx.Err().Error())
		}
	}
}
