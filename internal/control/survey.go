package control

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/snapshot"
)

// surveyTimeout bounds one question to an agent, surveyParallel the questions
// at a time.
const (
	surveyTimeout  = time.Second
	surveyParallel = 16
)

// described is an endpoint with what its agent said.
type described struct {
	snapshot.Endpoint
	// state is nil when the agent did not answer.
	state *wire.AgentState
	// at is when the engine's load was measured, by this host's clock.
	at time.Time
}

// survey asks the agents of the endpoints for their states.
func survey(ctx context.Context, agents Agents, endpoints []snapshot.Endpoint) []described {
	all := make([]described, len(endpoints))
	var g errgroup.Group
	g.SetLimit(surveyParallel)
	for i, e := range endpoints {
		g.Go(func() error {
			all[i] = describe(ctx, agents, e)
			return nil
		})
	}
	_ = g.Wait()
	return all
}

func describe(ctx context.Context, agents Agents, e snapshot.Endpoint) described {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	state, err := agents.Describe(ctx, e.Name, e.Spec.Agent)
	if err != nil || state.Endpoint != e.Name {
		return described{Endpoint: e}
	}
	return described{
		Endpoint: e,
		state:    state,
		at:       time.Now().Add(-time.Duration(state.AgeUs) * time.Microsecond),
	}
}

// poolEndpoints returns the endpoints of a pool, of one domain unless it is empty.
func poolEndpoints(view *snapshot.View, pool, domain string) []snapshot.Endpoint {
	var list []snapshot.Endpoint
	for _, e := range view.Endpoints() {
		if e.Spec.Pool == pool && (domain == "" || e.Spec.Domain == domain) {
			list = append(list, e)
		}
	}
	return list
}

// ticker runs a step at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, step func(context.Context)) {
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

// latest keeps the last state of each piece for dumps.
type latest[T any] struct {
	mu  sync.Mutex
	all map[string]T
}

func (l *latest[T]) set(piece string, value T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.all == nil {
		l.all = make(map[string]T)
	}
	l.all[piece] = value
}

func (l *latest[T]) forget(piece string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.all, piece)
}

func (l *latest[T]) copy() map[string]T {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]T, len(l.all))
	for piece, value := range l.all {
		out[piece] = value
	}
	return out
}
