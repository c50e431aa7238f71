package agent

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// engineReport is the most recent data received from the engine.
type engineReport struct {
	load       backing.EngineLoad
	receivedAt time.Time
	// events holds at most Options.CacheEvents cache events, oldest first.
	events       []backing.CacheEvent
	lastSequence uint64
}

// noEvents is the value of after for which State returns no cache events.
const noEvents = math.MaxUint64

// State returns the state that is sent to entry processes with each heartbeat.
// It includes the retained cache events with a sequence number above after.
func (a *Agent) State(after uint64) *wire.AgentState {
	a.mu.Lock()
	defer a.mu.Unlock()
	state := &wire.AgentState{
		Endpoint:    a.opts.Endpoint,
		Domain:      a.opts.Domain,
		Incarnation: a.opts.Incarnation,
		Draining:    a.draining,
		Ready:       a.readyLocked(),
		InFlight:    a.inFlight.Load(),
	}
	if a.opts.Engine != nil {
		a.setEngineFieldsLocked(state, after)
	}
	if a.opts.Orders != nil {
		state.HighestFence, state.OrderInFlight = a.opts.Orders.Status()
	}
	return state
}

// readyLocked reports whether the endpoint is ready: the engine's last load
// report says so and is not stale. Plain services are always ready. The caller
// must hold mu.
func (a *Agent) readyLocked() bool {
	if a.opts.Engine == nil {
		return true
	}
	return a.report.load.Ready && time.Since(a.report.receivedAt) < a.opts.LoadTimeout
}

// setEngineFieldsLocked sets the fields of state that describe the engine,
// including cache events with a sequence number above after. The caller must
// hold mu.
func (a *Agent) setEngineFieldsLocked(state *wire.AgentState, after uint64) {
	load := a.report.load
	state.Role = string(load.Role)
	state.Models = load.Models
	state.Adapters = load.Adapters
	state.Running = int32(load.Running)
	state.Waiting = int32(load.Waiting)
	state.WaitingPromptTokens = int64(load.WaitingPromptTokens)
	state.FreePieces = int32(load.FreeBlocks)
	state.TotalPieces = int32(load.TotalBlocks)
	state.PrefilledTokens = a.stats.PrefilledTokens.Load()
	state.GeneratedTokens = a.stats.GeneratedTokens.Load()
	state.AgeUs = (load.Age + time.Since(a.report.receivedAt)).Microseconds()
	for _, e := range a.report.events {
		if e.Sequence <= after {
			continue
		}
		state.CacheEvents = append(state.CacheEvents, &wire.CacheEvent{Sequence: e.Sequence, Prefix: e.Prefix, Evicted: e.Evicted})
	}
}

// Changed returns a channel that is closed at the next change of state that must
// be sent to entry processes immediately.
func (a *Agent) Changed() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changed
}

// notify closes the current channel of Changed and replaces it.
func (a *Agent) notify() {
	a.mu.Lock()
	close(a.changed)
	a.changed = make(chan struct{})
	a.mu.Unlock()
}

// Run polls the engine's load until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	if a.opts.Engine == nil {
		<-ctx.Done()
		return
	}
	ticker := time.NewTicker(a.opts.LoadInterval)
	defer ticker.Stop()
	for {
		a.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// poll fetches the engine's load and its new cache events. On error the previous
// report is retained.
func (a *Agent) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.opts.LoadTimeout)
	defer cancel()
	load, err := a.opts.Engine.Load(ctx)
	if err != nil {
		return
	}
	a.mu.Lock()
	after := a.report.lastSequence
	a.mu.Unlock()
	events, _ := a.opts.Engine.CacheEvents(ctx, after)
	if a.storeReport(load, events) {
		a.notify()
	}
}

// storeReport stores load and appends events, dropping the oldest ones above the
// limit. It reports whether the readiness of the endpoint changed.
func (a *Agent) storeReport(load backing.EngineLoad, events []backing.CacheEvent) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	wasReady := a.readyLocked()
	a.report.load, a.endedAt = load, time.Time{}
	a.report.receivedAt = time.Now()
	a.report.events = append(a.report.events, events...)
	if excess := len(a.report.events) - a.opts.CacheEvents; excess > 0 {
		a.report.events = slices.Clone(a.report.events[excess:])
	}
	if len(events) > 0 {
		a.report.lastSequence = events[len(events)-1].Sequence
	}
	return wasReady != a.readyLocked()
}
