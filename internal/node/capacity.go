package node

import (
	"context"
	"math"
	"time"

	"github.com/acacialink/acacialink/internal/queue"
	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/route"
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

// betweenTokens is the time between tokens that callers are promised: an
// engine's batch must stay small enough for it.
const betweenTokens = 48 * time.Millisecond

// modelUse is the capacity of a model's endpoints, what all hosts and what
// this host have in progress there, and how many of the configured endpoints
// this host sees.
type modelUse struct {
	total, used, own queue.Capacity
	seen             int
}

// capacities returns what this host may have in progress for each model. An
// endpoint is shared by those hosts that have it in their subset.
func capacities(view *snapshot.View, states map[string]*wire.AgentState, own map[string]route.Candidate, hosts int) map[string]queue.Capacity {
	byModel := make(map[string]*modelUse)
	configured := make(map[string]int)
	for _, e := range view.Endpoints() {
		pool := view.Pools()[e.Spec.Pool]
		configured[pool.Model]++
		state := states[e.Name]
		if state == nil || !state.Ready || state.Draining {
			continue
		}
		for _, model := range state.Models {
			if byModel[model] == nil {
				byModel[model] = &modelUse{}
			}
			byModel[model].add(pool, state, own[e.Name].Own, own[e.Name].Gap)
		}
	}
	shares := make(map[string]queue.Capacity, len(byModel))
	for model, use := range byModel {
		sharing := float64(hosts) * float64(use.seen) / float64(max(use.seen, configured[model]))
		shares[model] = queue.Share(use.total, use.used, use.own, int(math.Ceil(sharing)))
	}
	return shares
}

// add counts one endpoint.
func (u *modelUse) add(pool resource.PoolSpec, state *wire.AgentState, own route.Work, gap route.Gap) {
	prefill := orDefault(pool.PrefillTokens, defaultPrefillTokens)
	decode := orDefault(pool.DecodeTokens, defaultDecodeTokens)
	u.seen++
	u.total.PrefillRate += prefill
	u.total.DecodeRate += decode
	u.total.PrefillTokens += int64(float64(prefill) * prefillBacklog)
	u.total.Pieces += int64(state.TotalPieces)
	u.total.Streams += streams(decode, state, gap)
	u.used.PrefillTokens += state.WaitingPromptTokens
	u.used.Pieces += int64(state.TotalPieces - state.FreePieces)
	u.used.Streams += int64(state.Running + state.Waiting)
	u.own.PrefillTokens += own.PromptTokens
	u.own.Pieces += own.Pieces
	u.own.Streams += int64(own.Requests)
}

// The bound on an endpoint's streams follows the pace that they see: it lets in
// one more for each stepPerStream below paceTarget, and fewer than run above it.
const (
	paceTarget    = betweenTokens * 98 / 100
	stepPerStream = time.Millisecond
	paceAge       = 2 * time.Second
)

// streams is how many streams an endpoint may have: at most what its pool
// says, and what the observed time between tokens leaves room for.
func streams(decode int64, state *wire.AgentState, gap route.Gap) int64 {
	declared := max(1, int64(float64(decode)*betweenTokens.Seconds()))
	if time.Since(gap.At) > paceAge {
		return declared
	}
	room := int64((paceTarget - gap.Mean) / stepPerStream)
	return min(declared, max(1, int64(state.Running)+room))
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
	own := make(map[string]route.Candidate)
	for _, c := range e.router.Candidates() {
		own[c.Name] = c
	}
	byModel := capacities(view, e.fleet.States(), own, len(e.directory.live()))
	for model := range view.Models() {
		e.queues.SetCapacity(model, byModel[model])
	}
}
