package pool

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

func limits() Limits {
	return Limits{
		Domains: []string{"north", "south", "west"}, Min: 1, Max: 8,
		PrefillTokens: 10_000, DecodeTokens: 1000, Start: 2 * time.Minute, HeadroomDomains: 1,
	}
}

// fleet is a platform that starts endpoints after the time that limits say.
type fleet struct {
	now       time.Time
	limits    Limits
	endpoints []Endpoint
	ordered   int
	hours     float64
	short     int
	// never keeps ordered endpoints from starting.
	never bool
}

func newFleet(l Limits, perDomain int) *fleet {
	f := &fleet{now: time.Unix(0, 0), limits: l}
	for _, domain := range l.Domains {
		for range perDomain {
			f.add(domain, true)
		}
	}
	return f
}

func (f *fleet) add(domain string, running bool) {
	f.ordered++
	f.endpoints = append(f.endpoints, Endpoint{OrderID: fmt.Sprint("o", f.ordered), Domain: domain, Running: running, Ordered: f.now})
}

// interval is the time between two decisions of the tests.
const interval = 5 * time.Second

// run lets the decider follow a demand in endpoints for so long.
func (f *fleet) run(d *Decider, length time.Duration, needed func(t time.Duration) float64) {
	for t := time.Duration(0); t < length; t += interval {
		f.now = f.now.Add(interval)
		f.arrive()
		need := needed(t)
		if need > float64(f.running()) {
			f.short++
		}
		f.hours += interval.Hours() * float64(len(f.endpoints))
		if a, ok := d.Decide(f.now, Demand{Decode: need * f.limits.DecodeTokens}, f.endpoints, f.limits); ok {
			f.apply(a)
		}
	}
}

func (f *fleet) arrive() {
	for i := range f.endpoints {
		e := &f.endpoints[i]
		e.Running = e.Running || (!f.never && f.now.Sub(e.Ordered) >= f.limits.Start)
	}
}

func (f *fleet) running() int {
	n := 0
	for _, e := range f.endpoints {
		if e.Running {
			n++
		}
	}
	return n
}

func (f *fleet) apply(a Action) {
	if a.Order {
		f.add(a.Domain, false)
		return
	}
	kept := f.endpoints[:0]
	for _, e := range f.endpoints {
		if e.OrderID != a.OrderID {
			kept = append(kept, e)
		}
	}
	f.endpoints = kept
}

// day is a demand that doubles and falls again once a day, in endpoints.
func day(t time.Duration) float64 {
	return 4 - 3*math.Cos(2*math.Pi*t.Hours()/24)
}

func TestCostOfADayAgainstAFixedPool(t *testing.T) {
	is := is.New(t)
	l := limits()
	f := newFleet(l, 2)
	f.run(NewDecider(DefaultSettings()), 24*time.Hour, day)
	// A fixed pool for the peak of 7 endpoints: the same target utilisation
	// and the same headroom for the loss of one of three domains.
	fixed := float64(planFor(7/DefaultSettings().Target, l).total()) * 24
	t.Logf("endpoint hours: %.0f, fixed pool %.0f, part %.2f, short intervals %d", f.hours, fixed, f.hours/fixed, f.short)
	is.Equal(f.short, 0)
	is.True(f.hours <= 0.85*fixed)
}

func TestHeadroomSurvivesTheLossOfADomain(t *testing.T) {
	is := is.New(t)
	l := limits()
	f := newFleet(l, 1)
	f.run(NewDecider(DefaultSettings()), time.Hour, func(time.Duration) float64 { return 5 })
	for _, lost := range l.Domains {
		left := 0
		for _, e := range f.endpoints {
			if e.Domain != lost && e.Running {
				left++
			}
		}
		is.True(left >= 5)
	}
}

func TestBoundsBudgetAndInFlight(t *testing.T) {
	is := is.New(t)
	l := limits()
	l.BudgetHours = 24 * 6
	f := newFleet(l, 1)
	d := NewDecider(DefaultSettings())
	f.run(d, time.Hour, func(time.Duration) float64 { return 100 })
	is.Equal(len(f.endpoints), 6)
	f.run(d, 2*time.Hour, func(time.Duration) float64 { return 0 })
	is.Equal(len(f.endpoints), 3)
}

func TestShortSwingReturnsNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(limits(), 3)
	f.run(NewDecider(DefaultSettings()), 2*time.Hour, func(t time.Duration) float64 {
		if int(t.Minutes())/4%2 == 0 {
			return 4
		}
		return 1
	})
	is.Equal(len(f.endpoints), f.ordered)
}

func TestOrderThatNeverArrivesIsGivenUp(t *testing.T) {
	is := is.New(t)
	f := newFleet(limits(), 1)
	f.never = true
	f.run(NewDecider(DefaultSettings()), 15*time.Minute, func(time.Duration) float64 { return 5 })
	is.True(f.ordered > len(f.endpoints))
	is.True(len(f.endpoints) <= 3+DefaultSettings().OrdersInFlight)
}
