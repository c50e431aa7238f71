package route

import (
	"math/rand/v2"
	"time"
)

// sampleSize is the number of randomly sampled candidates that a pick evaluates.
// With no more candidates than this all are evaluated.
const sampleSize = 6

// CostPolicy is the default policy: it predicts the cost of the request at a few
// endpoints and picks the cheapest. It evaluates the endpoints predicted to
// cache the prompt's prefix and a random sample of the others, so that its cost
// is independent of the number of endpoints and entry hosts with the same load
// reports do not all pick the same endpoint.
type CostPolicy struct {
	CostModel   CostModel
	PrefixCache *PrefixCacheIndex
	Rand        *rand.Rand
}

// NewCostPolicy returns a policy with the default cost model.
func NewCostPolicy(rnd *rand.Rand) *CostPolicy {
	return &CostPolicy{CostModel: DefaultCostModel(), PrefixCache: NewPrefixCacheIndex(DefaultPrefixCacheEntries), Rand: rnd}
}

// choice is the cheapest candidate evaluated so far.
type choice struct {
	candidate *Candidate
	estimate  estimate
	prefix    int
}

// Pick implements Policy.
func (p *CostPolicy) Pick(now time.Time, r *Request, s *Set) (Decision, error) {
	best := p.best(now, r, s)
	if best.candidate == nil {
		return Decision{}, errNoEndpoint()
	}
	return best.decision(), nil
}

func (b *choice) decision() Decision {
	return Decision{
		Endpoint:           b.candidate.Name,
		ExpectedFirstToken: b.estimate.firstToken,
		PrefixTokens:       b.prefix,
	}
}

// best returns the cheapest of the evaluated candidates. Its candidate is nil if
// none is eligible.
func (p *CostPolicy) best(now time.Time, r *Request, s *Set) choice {
	e := estimator{costModel: &p.CostModel, now: now, req: r, set: s, meanWork: s.meanWork()}
	var buffer [maxMatches]Match
	matches := p.PrefixCache.lookup(now, r.Prefix, buffer[:0])
	var best choice
	for _, m := range matches {
		c := s.Get(m.Endpoint)
		if c != nil && c.eligible(r) && serves(c, r.Model) {
			best.consider(&e, c, p.credit(r, m))
		}
	}
	p.sample(&e, &best, matches)
	return best
}

// predictCachedTokens returns the largest prefix credit of the request at any
// endpoint, in tokens.
func (p *CostPolicy) predictCachedTokens(now time.Time, r *Request) int {
	var buffer [maxMatches]Match
	best := 0
	for _, m := range p.PrefixCache.lookup(now, r.Prefix, buffer[:0]) {
		best = max(best, p.credit(r, m))
	}
	return best
}

// credit returns the prompt tokens that a predicted cache hit is assumed to
// save: the matched length, capped, times the endpoint's trust.
func (p *CostPolicy) credit(r *Request, m Match) int {
	tokens := min(m.Tokens, r.PromptTokens, p.CostModel.MaxPrefixTokens)
	return int(float64(tokens) * m.Trust)
}

// sample evaluates all candidates of a short list, or a random sample of a long
// one.
func (p *CostPolicy) sample(e *estimator, best *choice, matches []Match) {
	list := e.set.Serving(e.req.Model)
	if len(list) <= sampleSize {
		p.scan(e, best, list, 0, matches)
		return
	}
	evaluated := 0
	for range sampleSize {
		c := list[p.Rand.IntN(len(list))]
		if c.eligible(e.req) && !hasMatch(matches, c.Name) {
			best.consider(e, c, 0)
			evaluated++
		}
	}
	if evaluated == 0 {
		p.scan(e, best, list, p.Rand.IntN(len(list)), matches)
	}
}

// scan evaluates up to sampleSize eligible candidates, beginning at index start.
func (p *CostPolicy) scan(e *estimator, best *choice, list []*Candidate, start int, matches []Match) {
	evaluated := 0
	for i := range list {
		c := list[(start+i)%len(list)]
		if !c.eligible(e.req) || hasMatch(matches, c.Name) {
			continue
		}
		best.consider(e, c, 0)
		evaluated++
		if evaluated == sampleSize {
			return
		}
	}
}

// consider replaces the choice with c if c is cheaper.
func (b *choice) consider(e *estimator, c *Candidate, prefix int) {
	est := e.estimateFor(c, prefix)
	if b.candidate == nil || est.score < b.estimate.score {
		*b = choice{candidate: c, estimate: est, prefix: prefix}
	}
}

func hasMatch(matches []Match, name string) bool {
	for i := range matches {
		if matches[i].Endpoint == name {
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
