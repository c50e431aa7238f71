package route

import (
	"math/rand/v2"
	"time"
)

// sampleSize is how many candidates a pick looks at; with fewer it looks at all.
const sampleSize = 6

// Picker is the product's policy: it predicts the cost of the request at a
// few endpoints and takes the cheapest. It looks at the endpoints that are
// expected to hold the prompt's prefix and at a random sample of the others,
// so that its cost does not grow with the fleet and entry hosts with the same
// reports do not all pick the same endpoint.
type Picker struct {
	Costs    Costs
	Affinity *Affinity
	Rand     *rand.Rand
}

// NewPicker returns a picker with default costs.
func NewPicker(rnd *rand.Rand) *Picker {
	return &Picker{Costs: DefaultCosts(), Affinity: NewAffinity(DefaultAffinityEntries), Rand: rnd}
}

// choice is the best candidate seen so far.
type choice struct {
	candidate *Candidate
	estimate  estimate
	prefix    int
}

// Pick implements Policy.
func (p *Picker) Pick(now time.Time, r *Request, s *Set) (Decision, error) {
	best := p.best(now, r, s)
	if best.candidate == nil {
		return Decision{}, errNoEndpoint()
	}
	return best.decision(), nil
}

func (b *choice) decision() Decision {
	return Decision{
		Endpoint:     b.candidate.Name,
		Expected:     b.estimate.first,
		PrefixTokens: b.prefix,
	}
}

// best returns the cheapest candidate that was looked at; its candidate is
// nil when none is eligible.
func (p *Picker) best(now time.Time, r *Request, s *Set) choice {
	e := estimator{costs: &p.Costs, now: now, req: r, set: s, mean: s.mean()}
	var matches [maxMatches]Match
	found := p.Affinity.lookup(now, r.Prefix, matches[:0])
	var best choice
	for _, m := range found {
		c := s.Get(m.Endpoint)
		if c != nil && c.eligible(r) && serves(c, r.Model) {
			best.offer(&e, c, p.credit(r, m))
		}
	}
	p.sample(&e, &best, found)
	return best
}

// predict is the longest credit that any endpoint gives the request.
func (p *Picker) predict(now time.Time, r *Request) int {
	var matches [maxMatches]Match
	best := 0
	for _, m := range p.Affinity.lookup(now, r.Prefix, matches[:0]) {
		best = max(best, p.credit(r, m))
	}
	return best
}

// credit is the part of the prompt that a predicted hit may save.
func (p *Picker) credit(r *Request, m Match) int {
	tokens := min(m.Tokens, r.PromptTokens, p.Costs.MaxPrefixTokens)
	return int(float64(tokens) * m.Trust)
}

// sample offers all candidates of a small list, or a random part of a long one.
func (p *Picker) sample(e *estimator, best *choice, found []Match) {
	list := e.set.Serving(e.req.Model)
	if len(list) <= sampleSize {
		p.scan(e, best, list, 0, found)
		return
	}
	offered := 0
	for range sampleSize {
		c := list[p.Rand.IntN(len(list))]
		if c.eligible(e.req) && !matched(found, c.Name) {
			best.offer(e, c, 0)
			offered++
		}
	}
	if offered == 0 {
		p.scan(e, best, list, p.Rand.IntN(len(list)), found)
	}
}

// scan offers up to sampleSize eligible candidates from the start on.
func (p *Picker) scan(e *estimator, best *choice, list []*Candidate, start int, found []Match) {
	offered := 0
	for i := range list {
		c := list[(start+i)%len(list)]
		if !c.eligible(e.req) || matched(found, c.Name) {
			continue
		}
		best.offer(e, c, 0)
		offered++
		if offered == sampleSize {
			return
		}
	}
}

// offer keeps c if it is cheaper than the best so far.
func (b *choice) offer(e *estimator, c *Candidate, prefix int) {
	est := e.at(c, prefix)
	if b.candidate == nil || est.score < b.estimate.score {
		*b = choice{candidate: c, estimate: est, prefix: prefix}
	}
}

func matched(found []Match, name string) bool {
	for i := range found {
		if found[i].Endpoint == name {
			return true
		}
	}
	return false
}

func serves(c *Candidate, model string) bool {
	for _, m := range c.Models {
		if m == model {
			return true
		}
	}
	return false
}
