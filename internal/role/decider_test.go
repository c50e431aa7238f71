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
	p := &pool{now: time.Unix(1000, 0)}
	for i := range prefill + decode {
		role := backing.RoleDecode
		if i < prefill {
			role = backing.RolePrefill
		}
		p.engines = append(p.engines, Engine{Name: string(rune('a' + i)), Role: role, Ready: true, At: p.now})
	}
	return p
}

func (p *pool) count(role backing.Role) int {
	n := 0
	for _, e := range p.engines {
		if e.Role == role {
			n++
		}
	}
	return n
}

// step serves the demand for one second.
func (p *pool) step(d Demand) {
	p.now = p.now.Add(time.Second)
	for i := range p.engines {
		e := &p.engines[i]
		e.At = p.now
		if e.Role == backing.RolePrefill {
			e.PromptTokens += int64(d.Prefill / float64(p.count(backing.RolePrefill)))
		} else {
			e.OutputTokens += int64(d.Decode / float64(p.count(backing.RoleDecode)))
		}
	}
}

func (p *pool) apply(c Change) {
	for i := range p.engines {
		if p.engines[i].Name == c.Engine {
			p.engines[i].Role = c.Role
		}
	}
}

// run serves the demand for the given number of seconds and returns the number of
// role changes.
func (p *pool) run(d *Decider, seconds int, demand func(second int) Demand) int {
	changes := 0
	for second := range seconds {
		p.step(demand(second))
		if c, ok := d.Decide(p.now, p.engines); ok {
			p.apply(c)
			changes++
		}
	}
	return changes
}

func constantDemand(d Demand) func(int) Demand { return func(int) Demand { return d } }

func TestDecideFollowsShiftInDemand(t *testing.T) {
	is := is.New(t)
	p := newPool(2, 4)
	d := NewDecider(p.now, DefaultSettings(), capacity)
	is.Equal(p.run(d, 300, constantDemand(Demand{Prefill: 10_000, Decode: 2500})), 0)
	is.True(p.run(d, 600, constantDemand(Demand{Prefill: 30_000, Decode: 1000})) >= 1)
	is.True(p.count(backing.RolePrefill) >= 4)
	is.True(p.count(backing.RoleDecode) >= 1)
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
	p := newPool(1, 3)
	d := NewDecider(p.now, DefaultSettings().Reactive(), capacity)
	p.run(d, 600, constantDemand(Demand{Prefill: 0, Decode: 10_000}))
	is.Equal(p.count(backing.RolePrefill), 1)
}

func TestDecideWaitsForFreshReportsAndReadyEngines(t *testing.T) {
	shift := constantDemand(Demand{Prefill: 30_000, Decode: 100})
	for name, disturb := range map[string]func(*pool){
		"stale":  func(p *pool) { p.engines[0].At = p.now.Add(-time.Minute) },
		"change": func(p *pool) { p.engines[0].Ready = p.now.Unix()%21 == 0 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPool(2, 4)
			d := NewDecider(p.now, DefaultSettings(), capacity)
			for second := range 300 {
				p.step(shift(second))
				disturb(p)
				_, ok := d.Decide(p.now, p.engines)
				is.True(!ok)
			}
		})
	}
}

func TestDemandIgnoresCounterResetAfterAgentRestart(t *testing.T) {
	is := is.New(t)
	p := newPool(2, 4)
	d := NewDecider(p.now, DefaultSettings(), capacity)
	p.run(d, 100, constantDemand(Demand{Prefill: 5000, Decode: 1000}))
	p.engines[0].Incarnation = "next"
	p.engines[0].PromptTokens = 1 << 40
	p.step(Demand{})
	d.Decide(p.now, p.engines)
	is.True(d.Demand().Prefill < 6000)
}

func TestFailedEngineDoesNotBlockDecisions(t *testing.T) {
	is := is.New(t)
	p := newPool(2, 4)
	d := NewDecider(p.now, DefaultSettings(), capacity)
	p.engines[5].Ready = false
	is.True(p.run(d, 300, constantDemand(Demand{Prefill: 30_000, Decode: 100})) >= 1)
}
