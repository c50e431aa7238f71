package role

import (
	"math"
	"time"
)

// Demand is work that arrives in a second, in tokens.
type Demand struct {
	Prefill, Decode float64
}

// meter measures demand from the engines' counts.
type meter struct {
	settings Settings
	last     map[string]count
	demand   Demand
	at       time.Time
}

// count is what an engine had done at a moment.
type count struct {
	incarnation string
	at          time.Time
	prompt      int64
	output      int64
}

func newMeter(s Settings) *meter {
	return &meter{settings: s, last: make(map[string]count)}
}

// observe takes the engines' reports and returns the demand.
func (m *meter) observe(now time.Time, engines []Engine) Demand {
	var rate Demand
	seen := make(map[string]count, len(engines))
	for _, e := range engines {
		next := count{incarnation: e.Incarnation, at: e.At, prompt: e.PromptTokens, output: e.OutputTokens}
		rate.add(m.served(e.Name, next))
		rate.Prefill += float64(e.WaitingPromptTokens) / m.settings.BacklogTime.Seconds()
		seen[e.Name] = next
	}
	m.last = seen
	m.smooth(now, rate)
	return m.demand
}

// served is the rate of an engine since its last report.
func (m *meter) served(name string, next count) Demand {
	before, ok := m.last[name]
	elapsed := next.at.Sub(before.at).Seconds()
	if !ok || before.incarnation != next.incarnation || elapsed <= 0 {
		return Demand{}
	}
	return Demand{
		Prefill: float64(max(0, next.prompt-before.prompt)) / elapsed,
		Decode:  float64(max(0, next.output-before.output)) / elapsed,
	}
}

func (d *Demand) add(o Demand) {
	d.Prefill += o.Prefill
	d.Decode += o.Decode
}

// smooth moves the demand towards the rate, by the time since the last call.
func (m *meter) smooth(now time.Time, rate Demand) {
	keep := 0.0
	if !m.at.IsZero() {
		keep = math.Exp2(-now.Sub(m.at).Seconds() / m.settings.HalfLife.Seconds())
	}
	m.at = now
	m.demand.Prefill = keep*m.demand.Prefill + (1-keep)*rate.Prefill
	m.demand.Decode = keep*m.demand.Decode + (1-keep)*rate.Decode
}
