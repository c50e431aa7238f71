package route

import (
	"slices"
	"time"
)

// Set holds the candidates of one entry host by name and by model. It is not
// safe for concurrent use.
type Set struct {
	byName  map[string]*Candidate
	byModel map[string][]*Candidate
	// distance is the round-trip time between two domains.
	distance map[string]map[string]time.Duration
	// total and reports give the mean of the reported work of others.
	total   Work
	reports int
}

// NewSet returns a set that holds the candidates.
func NewSet(candidates ...Candidate) *Set {
	s := &Set{
		byName:   make(map[string]*Candidate, len(candidates)),
		byModel:  make(map[string][]*Candidate),
		distance: make(map[string]map[string]time.Duration),
	}
	for _, c := range candidates {
		s.Put(c)
	}
	return s
}

// Put adds the candidate or replaces the one of its name.
func (s *Set) Put(c Candidate) {
	old := s.byName[c.Name]
	if old != nil {
		s.forget(old)
	}
	if old != nil && slices.Equal(old.Models, c.Models) {
		*old = c
		s.remember(old)
		return
	}
	if old != nil {
		s.unlist(old)
	}
	s.byName[c.Name] = &c
	for _, m := range c.Models {
		s.byModel[m] = append(s.byModel[m], &c)
	}
	s.remember(&c)
}

// Remove forgets the candidate.
func (s *Set) Remove(name string) {
	c := s.byName[name]
	if c == nil {
		return
	}
	s.forget(c)
	s.unlist(c)
	delete(s.byName, name)
}

// Get returns the candidate of that name, or nil. The caller may change its
// Own work, and nothing else.
func (s *Set) Get(name string) *Candidate { return s.byName[name] }

// Len is the number of candidates.
func (s *Set) Len() int { return len(s.byName) }

// Serving returns the candidates that have the model loaded; the slice is
// the set's own.
func (s *Set) Serving(model string) []*Candidate { return s.byModel[model] }

// SetDistance records the round-trip time from one domain to another.
func (s *Set) SetDistance(from, to string, d time.Duration) {
	if s.distance[from] == nil {
		s.distance[from] = make(map[string]time.Duration)
	}
	s.distance[from][to] = d
}

// Distance is the round-trip time between two domains: zero within one, and
// defaultDistance for an unknown pair.
func (s *Set) Distance(from, to string) time.Duration {
	if from == to {
		return 0
	}
	if d, ok := s.distance[from][to]; ok {
		return d
	}
	return defaultDistance
}

// defaultDistance is the round-trip time assumed between two domains.
const defaultDistance = 2 * time.Millisecond

// mean is the mean reported work of others at an endpoint.
func (s *Set) mean() Work {
	if s.reports == 0 {
		return Work{}
	}
	return Work{
		Requests:     s.total.Requests / s.reports,
		PromptTokens: s.total.PromptTokens / int64(s.reports),
	}
}

func (s *Set) remember(c *Candidate) {
	if c.Report.At.IsZero() {
		return
	}
	w := c.Report.others()
	s.total.Requests += w.Requests
	s.total.PromptTokens += w.PromptTokens
	s.reports++
}

func (s *Set) forget(c *Candidate) {
	if c.Report.At.IsZero() {
		return
	}
	w := c.Report.others()
	s.total.Requests -= w.Requests
	s.total.PromptTokens -= w.PromptTokens
	s.reports--
}

func (s *Set) unlist(c *Candidate) {
	for _, m := range c.Models {
		list := slices.DeleteFunc(s.byModel[m], func(o *Candidate) bool { return o == c })
		if len(list) == 0 {
			delete(s.byModel, m)
			continue
		}
		s.byModel[m] = list
	}
}
