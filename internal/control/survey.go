package control

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/snapshot"
)

const (
	// describeTimeout bounds one query to an agent.
	describeTimeout = time.Second
	// maxConcurrentDescribes is the maximum number of concurrent queries per call
	// of describeAll.
	maxConcurrentDescribes = 16
)

// endpointState is an endpoint with its agent's state.
type endpointState struct {
	snapshot.Endpoint
	// state is nil if the agent did not answer.
	state *wire.AgentState
	// measuredAt is the time at which the engine's load was measured, by this
	// host's clock. It is zero if the agent did not answer.
	measuredAt time.Time
}

// describeAll queries the agents of the endpoints concurrently and returns their
// states in the order of the endpoints.
func describeAll(ctx context.Context, agents Agents, endpoints []snapshot.Endpoint) []endpointState {
	states := make([]endpointState, len(endpoints))
	var group errgroup.Group
	group.SetLimit(maxConcurrentDescribes)
	for i, e := range endpoints {
		group.Go(func() error {
			states[i] = describe(ctx, agents, e)
			return nil
		})
	}
	_ = group.Wait()
	return states
}

// describe queries one agent. An answer for another endpoint counts as no answer.
func describe(ctx context.Context, agents Agents, e snapshot.Endpoint) endpointState {
	ctx, cancel := context.WithTimeout(ctx, describeTimeout)
	defer cancel()
	state, err := agents.Describe(ctx, e.Name, e.Spec.Agent)
	if err != nil || state.Endpoint != e.Name {
		return endpointState{Endpoint: e}
	}
	return endpointState{
		Endpoint:   e,
		state:      state,
		measuredAt: time.Now().Add(-time.Duration(state.AgeUs) * time.Microsecond),
	}
}

// poolEndpoints returns the endpoints of a pool, limited to one failure domain
// unless domain is empty.
func poolEndpoints(view *snapshot.View, pool, domain string) []snapshot.Endpoint {
	var list []snapshot.Endpoint
	for _, e := range view.Endpoints() {
		if e.Spec.Pool == pool && (domain == "" || e.Spec.Domain == domain) {
			list = append(list, e)
		}
	}
	return list
}

// runEvery calls step immediately and then at each interval until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, step func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// latestStates holds the last state of each shard for the state dump. It is safe
// for concurrent use.
type latestStates[T any] struct {
	mu      sync.Mutex
	byShard map[string]T
}

func (l *latestStates[T]) set(shard string, value T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byShard == nil {
		l.byShard = make(map[string]T)
	}
	l.byShard[shard] = value
}

func (l *latestStates[T]) remove(shard string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.byShard, shard)
}

// retain removes the state of each shard that is not listed.
func (l *latestStates[T]) retain(listed func(shard string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for shard := range l.byShard {
		if !listed(shard) {
			delete(l.byShard, shard)
		}
	}
}

func (l *latestStates[T]) copy() map[string]T {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]T, len(l.byShard))
	for shard, value := range l.byShard {
		out[shard] = value
	}
	return out
}
