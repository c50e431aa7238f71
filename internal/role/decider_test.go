package role

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/backing"
)

var capacity = Capacity{PrefillTokens: 10_000, DecodeTokens: 1000}

// pool simulates engines that serve all demand.
type pool struct {
	now     time.Time
	engines []Engine
}

func newPool(prefill, decode int) *pool {
	s := &pool{now: time.Unix(1000, 0)}
	for i := range prefill + decode {
		role := backing.RoleDecode
		if i < prefill {
			role = backing.RolePrefill
		}
		s.engines = append(s.engines, Engine{Name: string(rune('a' + i)), Role: role, Ready: true, At: s.now})
	}
	return s
}

func (s *pool) count(role backing.Role) int {
	n := 0
	for _, e := range s.engines {
		if e.Role == role {
			n++
		}
	}
	return n
}

// step serves the demand for one second.
func (s *pool) step(d Demand) {
	s.now = s.now.Add(time.Second)
	for i := range s.engines {
		e := &s.engines[i]
		e.At = s.now
		if e.Role == backing.RolePrefill {
			e.PromptTokens += int64(d.Prefill / float64(s.count(backing.RolePrefill)))
		} else {
			e.OutputTokens += int64(d.Decode / float64(s.count(backing.RoleDecode)))
		}
	}
}

func (s *pool) apply(c Change) {
	for i := range s.engines {
		if s.engines[i].Name == c.Engine {
			s.engines[i].Role = c.Role
		}
	}
}

// run serves the demand for the given number of seconds and returns the number of
// role changes.
func (s *pool) run(d *Decider, seconds int, demand func(second int) Demand) int {
	changes := 0
	for second := range seconds {
		s.step(demand(second))
		if c, ok := d.Decide(s.now, s.engines); ok {
			s.apply(c)
			changes++
		}
	}
	return changes
}

func constantDemand(d Demand) func(int) Demand { return func(int) Demand { return d } }

func TestDecideFollowsShiftInDemand(t *testing.T) {
	is := is.New(t)
	s := newPool(2, 4)
	d := NewDecider(s.now, DefaultSettings(), capacity)
	is.Equal(s.run(d, 300, constantDemand(Demand{Prefill: 10_000, Decode: 2500})), 0)
	is.True(s.run(d, 600, constantDemand(Demand{Prefill: 30_000, Decode: 1000})) >= 1)
	is.True(s.count(backing.RolePrefill) >= 4)
	is.True(s.count(backing.RoleDecode) >= 1)
}

func TestDecideDampsChangesUnderNoisyDemand(t *testing.T) {
	is := is.New(t)
	noisy := func(second int) Demand {
		if second/20%2 == 0 {
			return Demand{Prefill: 26_000, Decode: 1200}
		}
		return Demand{Prefill: 8000, Decode: 3200}
	}
	damped := newPool(3, 3)
	reactive := newPool(3, 3)
	dampedChanges := damped.run(NewDecider(damped.now, DefaultSettings(), capacity), 1200, noisy)
	reactiveChanges := reactive.run(NewDecider(reactive.now, DefaultSettings().Reactive(), capacity), 1200, noisy)
	is.True(reactiveChanges >= 8)
	is.True(dampedChanges*4 <= reactiveChanges)
}

func TestDecideKeepsFloorWithoutDemand(t *testing.T) {
	is := is.New(t)
	s := newPool(1, 3)
	d := NewDecider(s.now, DefaultSettings().Reactive(), capacity)
	s.run(d, 600, constantDemand(Demand{Prefill: 0, Decode: 10_000}))
	is.Equal(s.count(backing.RolePrefill), 1)
}

func TestDecideWaitsForFreshReportsAndReadyEngines(t *testing.T) {
	shift := constantDemand(Demand{Prefill: 30_000, Decode: 100})
	for name, disturb := range map[string]func(*pool){
		"stale":  func(s *pool) { s.engines[0].At = s.now.Add(-time.Minute) },
		"change": func(s *pool) { s.engines[0].Ready = s.now.Unix()%21 == 0 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newPool(2, 4)
			d := NewDecider(s.now, DefaultSettings(), capacity)
			for second := range 300 {
				s.step(shift(second))
				disturb(s)
				_, ok := d.Decide(s.now, s.engines)
				is.True(!ok)
			}
		})
	}
}

func TestDemandIgnoresCounterResetAfterAgentRestart(t *testing.T) {
	is := is.New(t)
	s := newPool(2, 4)
	d := NewDecider(s.now, DefaultSettings(), capacity)
	s.run(d, 100, constantDemand(Demand{Prefill: 5000, Decode: 1000}))
	s.engines[0].Incarnation = "next"
	s.engines[0].PromptTokens = 1 << 40
	s.step(Demand{})
	d.Decide(s.now, s.engines)
	is.True(d.Demand().Prefill < 6000)
}

func TestFailedEngineDoesNotBlockDecisions(t *testing.T) {
	is := is.New(t)
	s := newPool(2, 4)
	d := NewDecider(s.now, DefaultSettings(), capacity)
	s.engines[5].Ready = false
	is.True(s.run(d, 300, constantDemand(Demand{Prefill: 30_000, Decode: 100})) >= 1)
}
