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
	last     map[string]Counts
	demand   Demand
	at       time.Time
}

// Counts is what an engine had done at a moment, in tokens.
type Counts struct {
	// Incarnation is the start of the agent that counted.
	Incarnation    string
	At             time.Time
	Prompt, Output int64
}

// Since returns the rate of work since the counts before; zero when these are
// absent or from another start of the agent.
func (c Counts) Since(before Counts) Demand {
	elapsed := c.At.Sub(before.At).Seconds()
	if before.At.IsZero() || before.Incarnation != c.Incarnation || elapsed <= 0 {
		return Demand{}
	}
	return Demand{
		Prefill: float64(max(0, c.Prompt-before.Prompt)) / elapsed,
		Decode:  float64(max(0, c.Output-before.Output)) / elapsed,
	}
}

func newMeter(s Settings) *meter {
	return &meter{settings: s, last: make(map[string]Counts)}
}

// observe takes the engines' reports and returns the demand.
func (m *meter) observe(now time.Time, engines []Engine) Demand {
	var rate Demand
	seen := make(map[string]Counts, len(engines))
	for _, e := range engines {
		next := Counts{Incarnation: e.Incarnation, At: e.At, Prompt: e.PromptTokens, Output: e.OutputTokens}
		rate.add(next.Since(m.last[e.Name]))
		rate.Prefill += float64(e.WaitingPromptTokens) / m.settings.BacklogTime.Seconds()
		seen[e.Name] = next
	}
	m.last = seen
	m.smooth(now, rate)
	return m.demand
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
