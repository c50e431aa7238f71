package duty

import (
	"sort"

	"github.com/acacialink/acacialink/internal/endpoint"
)

// Balance is how many engines of a service should prefill.
type Balance struct {
	// PrefillShare is the part of the engines that prefill.
	PrefillShare float64
	// MinDecode is the least number of engines left to decode, so that the loss
	// of one stops no stream for long.
	MinDecode int
}

// StageOrder changes one engine's stage.
type StageOrder struct {
	Engine *endpoint.Endpoint
	Stage  endpoint.Stage
	// After is the number of orders that the engine must have accepted before,
	// so that a late copy of this one changes nothing.
	After int64
}

// Orders returns the changes that bring the engines to the balance: engines of
// the failure domain with the most of a stage change first, so that each domain
// keeps both.
func (b Balance) Orders(engines []*endpoint.Endpoint) []StageOrder {
	want := int(b.PrefillShare*float64(len(engines)) + 0.5)
	want = min(want, len(engines)-min(b.MinDecode, len(engines)-1))
	want = max(want, 1)
	have := 0
	for _, e := range engines {
		if e.Stage == endpoint.StagePrefill {
			have++
		}
	}
	if len(engines) < 2 {
		return nil
	}
	from, to, n := endpoint.StageDecode, endpoint.StagePrefill, want-have
	if n < 0 {
		from, to, n = to, from, -n
	}
	return pickEngines(engines, from, to, n)
}

func pickEngines(engines []*endpoint.Endpoint, from, to endpoint.Stage, n int) []StageOrder {
	perDomain := make(map[string]int)
	var list []*endpoint.Endpoint
	for _, e := range engines {
		if e.Stage == from {
			perDomain[e.Domain]++
			list = append(list, e)
		}
	}
	var orders []StageOrder
	for len(orders) < n && len(list) > 0 {
		sort.SliceStable(list, func(i, j int) bool {
			a, b := list[i], list[j]
			if perDomain[a.Domain] != perDomain[b.Domain] {
				return perDomain[a.Domain] > perDomain[b.Domain]
			}
			return a.ID < b.ID
		})
		e := list[0]
		list = list[1:]
		perDomain[e.Domain]--
		orders = append(orders, StageOrder{Engine: e, Stage: to})
	}
	return orders
}

const (
	// prefillShare and minDecode are the default balance.
	prefillShare = 0.67
	minDecode    = 2
)

// DefaultBalance suits prompts that are much longer than answers.
func DefaultBalance() Balance { return Balance{PrefillShare: prefillShare, MinDecode: minDecode} }
