package route

import (
	"slices"
	"time"
)

// Set holds an entry host's candidates by name and by model. It is not safe for
// concurrent use.
type Set struct {
	byName  map[string]*Candidate
	byModel map[string][]*Candidate
	// distance is the round-trip time from one domain to another.
	distance map[string]map[string]time.Duration
	// totalWork is the reported work of other hosts, summed over candidates
	// with a load report.
	totalWork Work
	// reportCount is the number of candidates with a load report.
	reportCount int
}

// NewSet returns a set of the given candidates.
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

// Put adds the candidate or replaces the one with the same name.
func (s *Set) Put(c Candidate) {
	old := s.byName[c.Name]
	if old != nil {
		s.subtractFromTotals(old)
	}
	if old != nil && slices.Equal(old.Models, c.Models) {
		*old = c
		s.addToTotals(old)
		return
	}
	if old != nil {
		s.removeFromModels(old)
	}
	s.byName[c.Name] = &c
	for _, m := range c.Models {
		s.byModel[m] = append(s.byModel[m], &c)
	}
	s.addToTotals(&c)
}

// Remove deletes the candidate, if present.
func (s *Set) Remove(name string) {
	c := s.byName[name]
	if c == nil {
		return
	}
	s.subtractFromTotals(c)
	s.removeFromModels(c)
	delete(s.byName, name)
}

// Get returns the candidate with that name, or nil. The caller may modify only
// its OwnWork and TokenGap fields.
func (s *Set) Get(name string) *Candidate { return s.byName[name] }

// Len returns the number of candidates.
func (s *Set) Len() int { return len(s.byName) }

// Serving returns the candidates that have loaded the model. The slice is owned
// by the set.
func (s *Set) Serving(model string) []*Candidate { return s.byModel[model] }

// SetDistance records the round-trip time between two failure domains.
func (s *Set) SetDistance(from, to string, d time.Duration) {
	if s.distance[from] == nil {
		s.distance[from] = make(map[string]time.Duration)
	}
	s.distance[from][to] = d
}

// Distance returns the round-trip time between two failure domains: zero within
// one, and defaultDistance for an unknown pair.
func (s *Set) Distance(from, to string) time.Duration {
	if from == to {
		return 0
	}
	if d, ok := s.distance[from][to]; ok {
		return d
	}
	return defaultDistance
}

// defaultDistance is the round-trip time assumed for an unknown pair of domains.
const defaultDistance = 2 * time.Millisecond

// meanWork returns the reported work of other hosts per endpoint, averaged over
// candidates with a load report.
func (s *Set) meanWork() Work {
	if s.reportCount == 0 {
		return Work{}
	}
	return Work{
		Requests:     s.totalWork.Requests / s.reportCount,
		PromptTokens: s.totalWork.PromptTokens / int64(s.reportCount),
	}
}

func (s *Set) addToTotals(c *Candidate) {
	if c.Report.MeasuredAt.IsZero() {
		return
	}
	w := c.Report.otherHostsWork()
	s.totalWork.Requests += w.Requests
	s.totalWork.PromptTokens += w.PromptTokens
	s.reportCount++
}

func (s *Set) subtractFromTotals(c *Candidate) {
	if c.Report.MeasuredAt.IsZero() {
		return
	}
	w := c.Report.otherHostsWork()
	s.totalWork.Requests -= w.Requests
	s.totalWork.PromptTokens -= w.PromptTokens
	s.reportCount--
}

func (s *Set) removeFromModels(c *Candidate) {
	for _, m := range c.Models {
		list := slices.DeleteFunc(s.byModel[m], func(other *Candidate) bool { return other == c })
		if len(list) == 0 {
			delete(s.byModel, m)
			continue
		}
		s.byModel[m] = list
	}
}
