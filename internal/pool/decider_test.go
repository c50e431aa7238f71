package pool

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

func testLimits() Limits {
	return Limits{
		Domains: []string{"north", "south", "west"}, Min: 1, Max: 8,
		PrefillTokens: 10_000, DecodeTokens: 1000, StartTime: 2 * time.Minute, HeadroomDomains: 1,
	}
}

// simPlatform simulates a platform that starts ordered endpoints after
// limits.StartTime.
type simPlatform struct {
	now            time.Time
	limits         Limits
	endpoints      []Endpoint
	ordered        int
	paidHours      float64
	shortIntervals int
	// neverStarts prevents ordered endpoints from starting.
	neverStarts bool
}

func newSimPlatform(l Limits, perDomain int) *simPlatform {
	p := &simPlatform{now: time.Unix(0, 0), limits: l}
	for _, domain := range l.Domains {
		for range perDomain {
			p.addEndpoint(domain, true)
		}
	}
	return p
}

func (p *simPlatform) addEndpoint(domain string, running bool) {
	p.ordered++
	p.endpoints = append(p.endpoints, Endpoint{OrderID: fmt.Sprint("o", p.ordered), Domain: domain, Running: running, OrderedAt: p.now})
}

// decisionInterval is the simulated time between two decisions.
const decisionInterval = 5 * time.Second

// run simulates a period of the given length with a demand of needed(t)
// endpoints, where t is the time since the start of the run.
func (p *simPlatform) run(d *Decider, length time.Duration, needed func(t time.Duration) float64) {
	for t := time.Duration(0); t < length; t += decisionInterval {
		p.now = p.now.Add(decisionInterval)
		p.startOrdered()
		demand := needed(t)
		if demand > float64(p.countRunning()) {
			p.shortIntervals++
		}
		p.paidHours += decisionInterval.Hours() * float64(len(p.endpoints))
		if a, ok := d.Decide(p.now, Demand{Decode: demand * p.limits.DecodeTokens}, p.endpoints, p.limits); ok {
			p.apply(a)
		}
	}
}

func (p *simPlatform) startOrdered() {
	for i := range p.endpoints {
		e := &p.endpoints[i]
		e.Running = e.Running || (!p.neverStarts && p.now.Sub(e.OrderedAt) >= p.limits.StartTime)
	}
}

func (p *simPlatform) countRunning() int {
	n := 0
	for _, e := range p.endpoints {
		if e.Running {
			n++
		}
	}
	return n
}

func (p *simPlatform) apply(a Action) {
	if a.Order {
		p.addEndpoint(a.Domain, false)
		return
	}
	remaining := p.endpoints[:0]
	for _, e := range p.endpoints {
		if e.OrderID != a.OrderID {
			remaining = append(remaining, e)
		}
	}
	p.endpoints = remaining
}

// dailyDemand is a demand in endpoints with a period of one day. It varies between
// 1 and 7.
func dailyDemand(t time.Duration) float64 {
	return 4 - 3*math.Cos(2*math.Pi*t.Hours()/24)
}

func TestDeciderCostsLessThanFixedPoolOverADay(t *testing.T) {
	is := is.New(t)
	l := testLimits()
	platform := newSimPlatform(l, 2)
	platform.run(NewDecider(DefaultSettings()), 24*time.Hour, dailyDemand)
	// The fixed pool is sized for the peak of 7 endpoints with the same target
	// utilisation and the same headroom for the loss of one of three domains.
	fixed := float64(planFor(7/DefaultSettings().TargetUtilisation, l).total()) * 24
	t.Logf("endpoint hours: %.0f, fixed pool %.0f, ratio %.2f, short intervals %d", platform.paidHours, fixed, platform.paidHours/fixed, platform.shortIntervals)
	is.Equal(platform.shortIntervals, 0)
	is.True(platform.paidHours <= 0.85*fixed)
}

func TestDeciderKeepsHeadroomForDomainLoss(t *testing.T) {
	is := is.New(t)
	l := testLimits()
	platform := newSimPlatform(l, 1)
	platform.run(NewDecider(DefaultSettings()), time.Hour, func(time.Duration) float64 { return 5 })
	for _, lost := range l.Domains {
		remaining := 0
		for _, e := range platform.endpoints {
			if e.Domain != lost && e.Running {
				remaining++
			}
		}
		is.True(remaining >= 5)
	}
}

func TestDeciderRespectsBudgetAndMinimum(t *testing.T) {
	is := is.New(t)
	l := testLimits()
	l.BudgetHours = 24 * 6
	platform := newSimPlatform(l, 1)
	d := NewDecider(DefaultSettings())
	platform.run(d, time.Hour, func(time.Duration) float64 { return 100 })
	is.Equal(len(platform.endpoints), 6)
	platform.run(d, 2*time.Hour, func(time.Duration) float64 { return 0 })
	is.Equal(len(platform.endpoints), 3)
}

func TestDeciderReturnsNothingDuringShortSwings(t *testing.T) {
	is := is.New(t)
	platform := newSimPlatform(testLimits(), 3)
	platform.run(NewDecider(DefaultSettings()), 2*time.Hour, func(t time.Duration) float64 {
		if int(t.Minutes())/4%2 == 0 {
			return 4
		}
		return 1
	})
	is.Equal(len(platform.endpoints), platform.ordered)
}

func TestDeciderReturnsOrdersThatNeverStart(t *testing.T) {
	is := is.New(t)
	platform := newSimPlatform(testLimits(), 1)
	platform.neverStarts = true
	platform.run(NewDecider(DefaultSettings()), 15*time.Minute, func(time.Duration) float64 { return 5 })
	is.True(platform.ordered > len(platform.endpoints))
	is.True(len(platform.endpoints) <= 3+DefaultSettings().MaxOrdersInFlight)
}
