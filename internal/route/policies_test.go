package route

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// strategy is a combination of admission control and routing policy.
type strategy struct {
	name  string
	admit bool
	// equalPriority gives all requests the same priority at the engines.
	equalPriority bool
	policy        func(seed uint64, host int) Policy
}

func newRand(seed uint64, host int) *rand.Rand { return rand.New(rand.NewPCG(seed, uint64(host))) }

func roundRobin(uint64, int) Policy { return &RoundRobin{} }

func leastReported(uint64, int) Policy { return LeastReported{} }

func twoChoices(seed uint64, host int) Policy { return &TwoChoices{Rand: newRand(seed, host)} }

func costPolicy(seed uint64, host int) Policy { return NewCostPolicy(newRand(seed, host)) }

func strategies() []strategy {
	return []strategy{
		{name: "plain round robin", equalPriority: true, policy: roundRobin},
		{name: "round robin", policy: roundRobin},
		{name: "least reported", policy: leastReported},
		{name: "two choices", policy: twoChoices},
		{name: "picker", policy: costPolicy},
		{name: "round robin with queue", admit: true, policy: roundRobin},
		{name: "picker with queue", admit: true, policy: costPolicy},
	}
}

// run returns the mean result over the seeds.
func (s *strategy) run(rate float64, seeds uint64) result {
	var mean result
	for seed := range seeds {
		sim := newSimulation(seed, rate, s.admit, func(h int) Policy { return s.policy(seed, h) })
		sim.equalPriority = s.equalPriority
		sim.run()
		r := sim.result()
		mean.goodput += r.goodput / float64(seeds)
		mean.worst += r.worst / float64(seeds)
		mean.best += r.best / float64(seeds)
	}
	return mean
}

// TestPoliciesUnderPromptLengthShift compares the strategies while the share of
// long prompts rises, at the highest load that the engines can serve within the
// latency targets.
func TestPoliciesUnderPromptLengthShift(t *testing.T) {
	is := is.New(t)
	const rate, seeds = 100, 2
	results := make(map[string]result)
	for _, s := range strategies() {
		r := s.run(rate, seeds)
		results[s.name] = r
		t.Logf("%-22s goodput %.3f, worst workspace %.3f, best %.3f", s.name, r.goodput, r.worst, r.best)
	}
	combined := results["picker with queue"]
	is.True(combined.goodput >= 1.5*results["plain round robin"].goodput)
	is.True(combined.goodput >= 1.15*results["round robin"].goodput)
	is.True(combined.goodput >= 1.15*results["two choices"].goodput)
	is.True(combined.worst >= 0.8*combined.best)
}

// TestQueueImprovesGoodputUnderOverload compares the goodput with and without
// admission control, at a load one third above what the engines can serve within
// the latency targets.
func TestQueueImprovesGoodputUnderOverload(t *testing.T) {
	is := is.New(t)
	const rate, seeds = 140, 2
	withQueue := strategy{admit: true, policy: costPolicy}
	withoutQueue := strategy{policy: costPolicy}
	queued, direct := withQueue.run(rate, seeds), withoutQueue.run(rate, seeds)
	t.Logf("goodput %.3f with the queue, %.3f without", queued.goodput, direct.goodput)
	is.True(queued.goodput >= 1.25*direct.goodput)
}

// BenchmarkGoodput reports the goodput of each strategy, and the goodput of its
// worst and best served workspace, over a range of loads.
func BenchmarkGoodput(b *testing.B) {
	for _, rate := range []float64{60, 80, 90, 100, 110, 120, 140} {
		for _, s := range strategies() {
			b.Run(fmt.Sprintf("%.0f/%s", rate, s.name), func(b *testing.B) {
				var r result
				for b.Loop() {
					r = s.run(rate, 3)
				}
				b.ReportMetric(r.goodput, "goodput")
				b.ReportMetric(r.worst, "worst")
				b.ReportMetric(r.best, "best")
			})
		}
	}
}
