package control

import (
	"math/rand/v2"
	"time"

	"github.com/acacialink/acacialink/internal/pool"
	"github.com/acacialink/acacialink/internal/role"
	"github.com/acacialink/acacialink/internal/snapshot"
)

// maxSample bounds the agents asked at a time for the demand of a pool.
const maxSample = 64

// sample returns at most maxSample of the endpoints.
func sample(endpoints []snapshot.Endpoint) []snapshot.Endpoint {
	if len(endpoints) <= maxSample {
		return endpoints
	}
	chosen := make([]snapshot.Endpoint, 0, maxSample)
	for _, i := range rand.Perm(len(endpoints))[:maxSample] {
		chosen = append(chosen, endpoints[i])
	}
	return chosen
}

// demandMeter measures a pool's demand from what its engines did and have
// waiting.
type demandMeter struct {
	last map[string]role.Counts
}

func newDemandMeter() *demandMeter { return &demandMeter{last: make(map[string]role.Counts)} }

// backlogTime is the time in which waiting prompts should be done.
const backlogTime = 10 * time.Second

// demand returns the demand of all endpoints, of which states are a sample.
func (m *demandMeter) demand(states []described, all int) pool.Demand {
	var sum pool.Demand
	heard := 0
	for _, d := range states {
		if d.state == nil {
			continue
		}
		heard++
		next := role.Counts{Incarnation: d.state.Incarnation, At: d.at, Prompt: d.state.PrefilledTokens, Output: d.state.GeneratedTokens}
		served := next.Since(m.last[d.Name])
		sum.Prefill += served.Prefill + float64(d.state.WaitingPromptTokens)/backlogTime.Seconds()
		sum.Decode += served.Decode
		m.last[d.Name] = next
	}
	if heard == 0 {
		return pool.Demand{}
	}
	scale := float64(all) / float64(heard)
	return pool.Demand{Prefill: sum.Prefill * scale, Decode: sum.Decode * scale}
}
