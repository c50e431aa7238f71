package leader

import (
	"sort"

	"github.com/acacialink/acacialink/internal/endpoint"
)

// Balance sets how many engines of a service are prefill engines.
type Balance struct {
	// PrefillShare is the fraction of prefill engines, from 0 to 1.
	PrefillShare float64
	// MinDecode is the minimum number of decode engines, so that the loss of one
	// does not interrupt streams for long.
	MinDecode int
}

// StageOrder changes the stage of one engine.
type StageOrder struct {
	Engine *endpoint.Endpoint
	// Stage is the stage to change to.
	Stage endpoint.Stage
	// AcceptedBefore is the number of orders that the engine must have accepted
	// before this one, so that a delayed duplicate has no effect.
	AcceptedBefore int64
}

// Orders returns the stage changes that establish the balance. It changes
// engines of the failure domain with the most engines of a stage first, so that
// each domain keeps engines of both stages.
func (b Balance) Orders(engines []*endpoint.Endpoint) []StageOrder {
	target := int(b.PrefillShare*float64(len(engines)) + 0.5)
	target = min(target, len(engines)-min(b.MinDecode, len(engines)-1))
	target = max(target, 1)
	current := 0
	for _, e := range engines {
		if e.Stage == endpoint.StagePrefill {
			current++
		}
	}
	if len(engines) < 2 {
		return nil
	}
	from, to, n := endpoint.StageDecode, endpoint.StagePrefill, target-current
	if n < 0 {
		from, to, n = to, from, -n
	}
	return pickEngines(engines, from, to, n)
}

// pickEngines returns up to n orders that change engines between stages.
func pickEngines(engines []*endpoint.Endpoint, from, to endpoint.Stage, n int) []StageOrder {
	perDomain := make(map[string]int)
	var candidates []*endpoint.Endpoint
	for _, e := range engines {
		if e.Stage == from {
			perDomain[e.Domain]++
			candidates = append(candidates, e)
		}
	}
	var orders []StageOrder
	for len(orders) < n && len(candidates) > 0 {
		sort.SliceStable(candidates, func(i, j int) bool {
			a, b := candidates[i], candidates[j]
			if perDomain[a.Domain] != perDomain[b.Domain] {
				return perDomain[a.Domain] > perDomain[b.Domain]
			}
			return a.ID < b.ID
		})
		e := candidates[0]
		candidates = candidates[1:]
		perDomain[e.Domain]--
		orders = append(orders, StageOrder{Engine: e, Stage: to})
	}
	return orders
}

const (
	defaultPrefillShare = 0.67
	defaultMinDecode    = 2
)

// DefaultBalance returns a balance for prompts that are much longer than the
// generated output.
func DefaultBalance() Balance {
	return Balance{PrefillShare: defaultPrefillShare, MinDecode: defaultMinDecode}
}
