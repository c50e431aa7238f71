package route

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// contestant is one way to admit and route.
type contestant struct {
	name  string
	admit bool
	// plain gives all requests the same priority at the engines.
	plain  bool
	policy func(seed uint64, host int) Policy
}

func seeded(seed uint64, host int) *rand.Rand { return rand.New(rand.NewPCG(seed, uint64(host))) }

func roundRobin(uint64, int) Policy { return &RoundRobin{} }

func leastReported(uint64, int) Policy { return LeastReported{} }

func twoChoices(seed uint64, host int) Policy { return &TwoChoices{Rand: seeded(seed, host)} }

func picker(seed uint64, host int) Policy { return NewPicker(seeded(seed, host)) }

func contestants() []contestant {
	return []contestant{
		{name: "plain round robin", plain: true, policy: roundRobin},
		{name: "round robin", policy: roundRobin},
		{name: "least reported", policy: leastReported},
		{name: "two choices", policy: twoChoices},
		{name: "picker", policy: picker},
		{name: "round robin with queue", admit: true, policy: roundRobin},
		{name: "picker with queue", admit: true, policy: picker},
	}
}

// run is the mean result over the seeds.
func (c *contestant) run(rate float64, seeds uint64) result {
	var mean result
	for seed := range seeds {
		m := newModel(seed, rate, c.admit, func(h int) Policy { return c.policy(seed, h) })
		m.plain = c.plain
		m.run()
		r := m.result()
		mean.goodput += r.goodput / float64(seeds)
		mean.worst += r.worst / float64(seeds)
		mean.best += r.best / float64(seeds)
	}
	return mean
}

// TestPoliciesThroughAShiftOfTheMix compares at the highest load that the
// engines can serve in time.
func TestPoliciesThroughAShiftOfTheMix(t *testing.T) {
	is := is.New(t)
	const rate, seeds = 100, 2
	results := make(map[string]result)
	for _, c := range contestants() {
		r := c.run(rate, seeds)
		results[c.name] = r
		t.Logf("%-22s goodput %.3f, worst workspace %.3f, best %.3f", c.name, r.goodput, r.worst, r.best)
	}
	ours := results["picker with queue"]
	is.True(ours.goodput >= 1.5*results["plain round robin"].goodput)
	is.True(ours.goodput >= 1.15*results["round robin"].goodput)
	is.True(ours.goodput >= 1.15*results["two choices"].goodput)
	is.True(ours.worst >= 0.8*ours.best)
}

// TestQueueKeepsGoodputUnderOverload compares at a third more than the engines
// can serve in time.
func TestQueueKeepsGoodputUnderOverload(t *testing.T) {
	is := is.New(t)
	const rate, seeds = 140, 2
	with := contestant{admit: true, policy: picker}
	without := contestant{policy: picker}
	kept, lost := with.run(rate, seeds), without.run(rate, seeds)
	t.Logf("goodput %.3f with the queue, %.3f without", kept.goodput, lost.goodput)
	is.True(kept.goodput >= 1.25*lost.goodput)
}

// BenchmarkGoodput reports each policy's goodput and its worst and best served
// workspace over a range of loads.
func BenchmarkGoodput(b *testing.B) {
	for _, rate := range []float64{60, 80, 90, 100, 110, 120, 140} {
		for _, c := range contestants() {
			b.Run(fmt.Sprintf("%.0f/%s", rate, c.name), func(b *testing.B) {
				var r result
				for b.Loop() {
					r = c.run(rate, 3)
				}
				b.ReportMetric(r.goodput, "goodput")
				b.ReportMetric(r.worst, "worst")
				b.ReportMetric(r.best, "best")
			})
		}
	}
}
