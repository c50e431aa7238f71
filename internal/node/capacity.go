package node

import (
	"context"
	"time"

	"github.com/acacialink/acacialink/internal/queue"
	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/snapshot"
)

// The speed that an engine is taken to have when its pool does not say.
const (
	defaultPrefillTokens = 10_000
	defaultDecodeTokens  = 500
)

// prefillBacklog is the prompt work that one endpoint may have waiting, as a
// share of what it prefills in a second: more would pass the time allowed to
// the first token.
const prefillBacklog = 0.4

// capacities returns what this host may have in progress for each model: its
// endpoints' capacity divided by the hosts that share them.
func capacities(view *snapshot.View, states map[string]*wire.AgentState, hosts int) map[string]queue.Capacity {
	byModel := make(map[string]queue.Capacity)
	for _, e := range view.Endpoints() {
		state := states[e.Name]
		if state == nil || !state.Ready || state.Draining {
			continue
		}
		pool := view.Pools()[e.Spec.Pool]
		for _, model := range state.Models {
			c := byModel[model]
			c.PrefillRate += orDefault(pool.PrefillTokens, defaultPrefillTokens)
			c.DecodeRate += orDefault(pool.DecodeTokens, defaultDecodeTokens)
			c.Pieces += int64(state.TotalPieces)
			byModel[model] = c
		}
	}
	for model, c := range byModel {
		byModel[model] = share(c, int64(max(1, hosts)))
	}
	return byModel
}

func share(c queue.Capacity, hosts int64) queue.Capacity {
	c.PrefillRate /= hosts
	c.DecodeRate /= hosts
	c.Pieces /= hosts
	c.PrefillTokens = int64(float64(c.PrefillRate) * prefillBacklog)
	return c
}

func orDefault(value, fallback int64) int64 {
	if value > 0 {
		return value
	}
	return fallback
}

// capacityInterval is how often admission learns the endpoints' capacity,
// besides each change of an endpoint's readiness.
const capacityInterval = 250 * time.Millisecond

func (e *Entry) followCapacity(ctx context.Context) {
	ticker := time.NewTicker(capacityInterval)
	defer ticker.Stop()
	for {
		e.updateCapacity()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.capacityDue:
		}
	}
}

func (e *Entry) updateCapacity() {
	view := e.config.Current()
	byModel := capacities(view, e.fleet.States(), len(e.directory.live()))
	for model := range view.Models() {
		e.queues.SetCapacity(model, byModel[model])
	}
}
