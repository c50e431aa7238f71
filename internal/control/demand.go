package control

import (
	"math/rand/v2"
	"time"

	"github.com/acacialink/acacialink/internal/pool"
	"github.com/acacialink/acacialink/internal/role"
	"github.com/acacialink/acacialink/internal/snapshot"
)

// maxSampledAgents is the maximum number of agents queried per measurement of a
// pool's demand.
const maxSampledAgents = 64

// sampleEndpoints returns the endpoints, or a random sample of maxSampledAgents of
// them if there are more.
func sampleEndpoints(endpoints []snapshot.Endpoint) []snapshot.Endpoint {
	if len(endpoints) <= maxSampledAgents {
		return endpoints
	}
	chosen := make([]snapshot.Endpoint, 0, maxSampledAgents)
	for _, i := range rand.Perm(len(endpoints))[:maxSampledAgents] {
		chosen = append(chosen, endpoints[i])
	}
	return chosen
}

// surveyedEndpoints returns a sample of the endpoints and all that drain, whose
// requests in flight decide when they are returned.
func surveyedEndpoints(endpoints []snapshot.Endpoint) []snapshot.Endpoint {
	var draining, others []snapshot.Endpoint
	for _, e := range endpoints {
		if e.Spec.Draining {
			draining = append(draining, e)
		} else {
			others = append(others, e)
		}
	}
	return append(draining, sampleEndpoints(others)...)
}

// demandMeter measures a pool's demand from the work that its engines completed
// and from their waiting prompts.
type demandMeter struct {
	// lastCounts holds the previous counts by endpoint name.
	lastCounts map[string]role.Counts
}

func newDemandMeter() *demandMeter { return &demandMeter{lastCounts: make(map[string]role.Counts)} }

// backlogDrainTime is the target time for prefilling the waiting prompts.
const backlogDrainTime = 10 * time.Second

// demand returns the demand on a pool of total endpoints, extrapolated from the
// states of a sample. Endpoints whose agent did not answer are skipped; without
// any answer the demand is zero.
func (m *demandMeter) demand(states []endpointState, total int) pool.Demand {
	var sum pool.Demand
	answered := 0
	for _, e := range states {
		if e.state == nil {
			continue
		}
		answered++
		next := role.Counts{Incarnation: e.state.Incarnation, At: e.measuredAt, Prompt: e.state.PrefilledTokens, Output: e.state.GeneratedTokens}
		served := next.RateSince(m.lastCounts[e.Name])
		sum.Prefill += served.Prefill + float64(e.state.WaitingPromptTokens)/backlogDrainTime.Seconds()
		sum.Decode += served.Decode
		m.lastCounts[e.Name] = next
	}
	if answered == 0 {
		return pool.Demand{}
	}
	scale := float64(total) / float64(answered)
	return pool.Demand{Prefill: sum.Prefill * scale, Decode: sum.Decode * scale}
}
