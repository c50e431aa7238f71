package route

import (
	"math/rand/v2"
	"time"
)

// RoundRobin cycles through the endpoints that serve the model.
type RoundRobin struct {
	next uint64
}

// Pick implements Policy.
func (p *RoundRobin) Pick(_ time.Time, r *Request, s *Set) (Decision, error) {
	list := s.Serving(r.Model)
	for range list {
		c := list[p.next%uint64(len(list))]
		p.next++
		if c.eligible(r) {
			return Decision{Endpoint: c.Name}, nil
		}
	}
	return Decision{}, errNoEndpoint()
}

// LeastReported picks the endpoint with the fewest running and waiting requests
// in its latest load report, regardless of the report's age.
type LeastReported struct{}

// Pick implements Policy.
func (LeastReported) Pick(_ time.Time, r *Request, s *Set) (Decision, error) {
	var best *Candidate
	for _, c := range s.Serving(r.Model) {
		if !c.eligible(r) {
			continue
		}
		if best == nil || c.reportedRequests() < best.reportedRequests() {
			best = c
		}
	}
	if best == nil {
		return Decision{}, errNoEndpoint()
	}
	return Decision{Endpoint: best.Name}, nil
}

func (c *Candidate) reportedRequests() int { return c.Report.Running + c.Report.Waiting }

// TwoChoices picks two endpoints at random and takes the one at which the entry
// host has fewer requests of its own in flight.
type TwoChoices struct {
	Rand *rand.Rand
}

// Pick implements Policy.
func (p *TwoChoices) Pick(_ time.Time, r *Request, s *Set) (Decision, error) {
	list := s.Serving(r.Model)
	first := randomEligible(p.Rand, list, r)
	if first == nil {
		return Decision{}, errNoEndpoint()
	}
	second := randomEligible(p.Rand, list, r)
	if second.OwnWork.Requests < first.OwnWork.Requests {
		first = second
	}
	return Decision{Endpoint: first.Name}, nil
}

// maxRandomProbes bounds the random probes before falling back to a linear scan.
const maxRandomProbes = 8

// randomEligible returns a random eligible candidate, or nil if there is none.
func randomEligible(rnd *rand.Rand, list []*Candidate, r *Request) *Candidate {
	if len(list) == 0 {
		return nil
	}
	for range maxRandomProbes {
		if c := list[rnd.IntN(len(list))]; c.eligible(r) {
			return c
		}
	}
	start := rnd.IntN(len(list))
	for i := range list {
		if c := list[(start+i)%len(list)]; c.eligible(r) {
			return c
		}
	}
	return nil
}
