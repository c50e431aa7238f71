package agent

import (
	"context"
	"math"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// report is the last that was heard from the engine.
type report struct {
	load     backing.EngineLoad
	received time.Time
	events   []backing.CacheEvent
	sequence uint64
}

// noEvents is a sequence number that no cache event reaches.
const noEvents = math.MaxUint64

// State returns what entry processes learn with each heartbeat. Of cache
// events it holds those with a sequence number above after.
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
		a.describeEngine(state, after)
	}
	if a.opts.Orders != nil {
		state.HighestFence, state.OrderInFlight = a.opts.Orders.Status()
	}
	return state
}

func (a *Agent) readyLocked() bool {
	if a.opts.Engine == nil {
		return true
	}
	return a.report.load.Ready && time.Since(a.report.received) < a.opts.StaleLoad
}

// describeEngine fills in the engine's part. The caller holds mu.
func (a *Agent) describeEngine(state *wire.AgentState, after uint64) {
	load := a.report.load
	state.Role = string(load.Role)
	state.Models = load.Models
	state.Adapters = load.Adapters
	state.Running = int32(load.Running)
	state.Waiting = int32(load.Waiting)
	state.WaitingPromptTokens = int64(load.WaitingPromptTokens)
	state.FreePieces = int32(load.FreePieces)
	state.TotalPieces = int32(load.TotalPieces)
	state.PrefilledTokens = a.stats.Prefilled.Load()
	state.GeneratedTokens = a.stats.Tokens.Load()
	state.AgeUs = (load.Age + time.Since(a.report.received)).Microseconds()
	for _, e := range a.report.events {
		if e.Sequence <= after {
			continue
		}
		state.CacheEvents = append(state.CacheEvents, &wire.CacheEvent{Sequence: e.Sequence, Prefix: e.Prefix, Evicted: e.Evicted})
	}
}

// Changed returns a channel that is closed at the next change that entry
// processes must hear of at once.
func (a *Agent) Changed() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changed
}

func (a *Agent) notify() {
	a.mu.Lock()
	close(a.changed)
	a.changed = make(chan struct{})
	a.mu.Unlock()
}

// Run asks the engine for its load until ctx ends.
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

func (a *Agent) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.opts.StaleLoad)
	defer cancel()
	load, err := a.opts.Engine.Load(ctx)
	if err != nil {
		return
	}
	a.mu.Lock()
	after := a.report.sequence
	a.mu.Unlock()
	events, _ := a.opts.Engine.CacheEvents(ctx, after)
	if a.keep(load, events) {
		a.notify()
	}
}

// keep stores the report and says whether entry processes must hear of it at once.
func (a *Agent) keep(load backing.EngineLoad, events []backing.CacheEvent) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.readyLocked()
	a.report.load = load
	a.report.received = time.Now()
	a.report.events = append(a.report.events, events...)
	if over := len(a.report.events) - a.opts.CacheEvents; over > 0 {
		a.report.events = a.report.events[over:]
	}
	if len(events) > 0 {
		a.report.sequence = events[len(events)-1].Sequence
	}
	return before != a.readyLocked()
}
