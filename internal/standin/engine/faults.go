package engine

import (
	"context"
	"slices"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/pkg/errors"
)

var errCrashed = errors.Wrap(backing.ErrUnknown, "engine crashed")

// Faults is the fault configuration of an engine and the body of PUT /faults.
// The zero value injects no fault.
type Faults struct {
	// Crashed aborts all streams and closes every connection without an answer.
	// Switching it off restarts the engine: models, role and fencing token are
	// the initial ones and the caches are empty.
	Crashed bool `json:"crashed,omitempty"`
	// Hung stops steps, heartbeats and answers but keeps connections open.
	Hung bool `json:"hung,omitempty"`
	// SlowFactor multiplies the duration of each step if it is above 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// RefuseOrders makes the engine reject all orders.
	RefuseOrders bool `json:"refuse_orders,omitempty"`
	// LoseOrderAnswers is the number of following orders that are executed
	// without an answer.
	LoseOrderAnswers int `json:"lose_order_answers,omitempty"`
	// CrashMidOrder crashes the engine halfway through the next order.
	CrashMidOrder bool `json:"crash_mid_order,omitempty"`
	// CacheEventLoss is the fraction of cache events that are never reported.
	CacheEventLoss float64 `json:"cache_event_loss,omitempty"`
}

// Faults returns the current faults.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	previous := e.faults
	e.faults = f
	if previous.Hung != f.Hung {
		close(e.hungChanged)
		e.hungChanged = make(chan struct{})
	}
	if f.Crashed && !previous.Crashed {
		e.crash()
	}
}

// crash ends all generations and resets the engine. The caller must hold mu.
func (e *Engine) crash() {
	e.faults.Crashed = true
	for _, s := range append(slices.Clone(e.waiting), e.running...) {
		s.undelivered = nil
		s.end(errCrashed)
	}
	close(e.incarnation)
	e.incarnation = make(chan struct{})
	e.looping = false
	e.reset()
}

// waitWhileHung blocks until the engine is not hung. It returns ErrUnknown if
// ctx ends first.
func (e *Engine) waitWhileHung(ctx context.Context) error {
	for {
		e.mu.Lock()
		hung, changed := e.faults.Hung, e.hungChanged
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
