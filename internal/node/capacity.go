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

// Engine throughput assumed for pools that do not declare it.
const (
	defaultPrefillTokensPerSecond = 10_000
	defaultDecodeTokensPerSecond  = 500
)

// maxPrefillBacklogSeconds bounds the prompt tokens that wait at one endpoint, in
// seconds of its prefill throughput. A longer backlog would exceed the limit on the
// time to first token.
const maxPrefillBacklogSeconds = 0.4

// maxInterTokenLatency is the time between tokens that is promised to callers. It
// limits the batch size of an engine.
const maxInterTokenLatency = 48 * time.Millisecond

// modelLoad is the capacity and load of the endpoints that serve a model and are ready and
// connected to this host.
type modelLoad struct {
	// total is the capacity of the endpoints. used is the work that all hosts have in
	// progress there. own is the work that this host has in progress there.
	total, used, own queue.Capacity
	// connected is the number of these endpoints.
	connected int
}

// capacityShares returns the work that this host may have in progress for each model. The
// capacity of an endpoint is shared by the hosts that have it in their subset.
func capacityShares(view *snapshot.View, states map[string]*wire.AgentState, candidates map[string]route.Candidate, hosts int) map[string]queue.Capacity {
	loads := make(map[string]*modelLoad)
	configured := make(map[string]int)
	for _, endpoint := range view.Endpoints() {
		pool := view.Pools()[endpoint.Spec.Pool]
		configured[pool.Model]++
		state := states[endpoint.Name]
		if state == nil || !state.Ready || state.Draining {
			continue
		}
		for _, model := range state.Models {
			if loads[model] == nil {
				loads[model] = &modelLoad{}
			}
			loads[model].addEndpoint(pool, state, candidates[endpoint.Name].OwnWork, candidates[endpoint.Name].TokenGap)
		}
	}
	shares := make(map[string]queue.Capacity, len(loads))
	for model, load := range loads {
		sharingHosts := float64(hosts) * float64(load.connected) / float64(max(load.connected, configured[model]))
		shares[model] = queue.HostCapacity(load.total, load.used, load.own, int(math.Ceil(sharingHosts)))
	}
	return shares
}

// addEndpoint adds the capacity and load of one endpoint.
func (l *modelLoad) addEndpoint(pool resource.PoolSpec, state *wire.AgentState, own route.Work, gap route.TokenGap) {
	prefill := orDefault(pool.PrefillTokens, defaultPrefillTokensPerSecond)
	decode := orDefault(pool.DecodeTokens, defaultDecodeTokensPerSecond)
	l.connected++
	l.total.PrefillRate += prefill
	l.total.DecodeRate += decode
	l.total.PrefillTokens += int64(float64(prefill) * maxPrefillBacklogSeconds)
	l.total.KVBlocks += int64(state.TotalPieces)
	l.total.Streams += streamLimit(decode, state, gap)
	l.used.PrefillTokens += state.WaitingPromptTokens
	l.used.KVBlocks += int64(state.TotalPieces - state.FreePieces)
	l.used.Streams += int64(state.Running + state.Waiting)
	l.own.PrefillTokens += own.PromptTokens
	l.own.KVBlocks += own.KVBlocks
	l.own.Streams += int64(own.Requests)
}

// The stream limit of an endpoint follows the measured time between tokens. It exceeds
// the number of running streams by one for each latencyPerStream that the measurement is
// below targetInterTokenLatency. It is lower than that number above the target.
const (
	targetInterTokenLatency = maxInterTokenLatency * 98 / 100
	latencyPerStream        = time.Millisecond
	maxGapAge               = 2 * time.Second
)

// streamLimit returns the number of streams that an endpoint may have: at most what its
// pool declares and what the measured time between tokens allows. A measurement older
// than maxGapAge is ignored.
func streamLimit(decode int64, state *wire.AgentState, gap route.TokenGap) int64 {
	declared := max(1, int64(float64(decode)*maxInterTokenLatency.Seconds()))
	if time.Since(gap.UpdatedAt) > maxGapAge {
		return declared
	}
	headroom := int64((targetInterTokenLatency - gap.Mean) / latencyPerStream)
	return min(declared, max(1, int64(state.Running)+headroom))
}

// orDefault returns value if it is positive, and fallback otherwise.
func orDefault(value, fallback int64) int64 {
	if value > 0 {
		return value
	}
	return fallback
}

// capacityInterval is the interval at which the capacity of the admission queues is
// updated. A change of an endpoint's readiness also triggers an update.
const capacityInterval = 250 * time.Millisecond

// runCapacityUpdates updates the capacity of the admission queues until ctx ends.
func (e *Entry) runCapacityUpdates(ctx context.Context) {
	ticker := time.NewTicker(capacityInterval)
	defer ticker.Stop()
	for {
		e.updateCapacity()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.capacityChanged:
		}
	}
}

// updateCapacity sets the capacity of every model's queue to this host's share.
func (e *Entry) updateCapacity() {
	view := e.config.Current()
	candidates := make(map[string]route.Candidate)
	for _, candidate := range e.router.Candidates() {
		candidates[candidate.Name] = candidate
	}
	shares := capacityShares(view, e.fleet.States(), candidates, len(e.directory.live()))
	for model := range view.Models() {
		e.queues.SetCapacity(model, shares[model])
	}
}
