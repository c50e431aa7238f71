package role

import (
	"math"
	"time"
)

// Demand is the rate of arriving work in tokens per second.
type Demand struct {
	Prefill, Decode float64
}

// meter measures demand from the engines' token counters.
type meter struct {
	settings Settings
	// last holds the previous counts by engine name.
	last map[string]Counts
	// demand is the smoothed demand as of at.
	demand Demand
	at     time.Time
}

// Counts holds an engine's token counters at one time.
type Counts struct {
	// Incarnation identifies the agent process that counted; each starts at zero.
	Incarnation string
	// At is when the engine's load was measured.
	At time.Time
	// Prompt and Output are the tokens prefilled and generated.
	Prompt, Output int64
}

// RateSince returns the rate of work between before and c. It is zero if before is
// absent or from another incarnation of the agent.
func (c Counts) RateSince(before Counts) Demand {
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

// observe adds the engines' reports and returns the smoothed demand.
func (m *meter) observe(now time.Time, engines []Engine) Demand {
	var rate Demand
	counts := make(map[string]Counts, len(engines))
	for _, e := range engines {
		next := Counts{Incarnation: e.Incarnation, At: e.At, Prompt: e.PromptTokens, Output: e.OutputTokens}
		rate.add(next.RateSince(m.last[e.Name]))
		rate.Prefill += float64(e.WaitingPromptTokens) / m.settings.BacklogTime.Seconds()
		counts[e.Name] = next
	}
	m.last = counts
	m.smooth(now, rate)
	return m.demand
}

func (d *Demand) add(o Demand) {
	d.Prefill += o.Prefill
	d.Decode += o.Decode
}

// smooth applies exponential smoothing, weighted by the time since the last call.
func (m *meter) smooth(now time.Time, rate Demand) {
	weight := 0.0
	if !m.at.IsZero() {
		weight = math.Exp2(-now.Sub(m.at).Seconds() / m.settings.HalfLife.Seconds())
	}
	m.at = now
	m.demand.Prefill = weight*m.demand.Prefill + (1-weight)*rate.Prefill
	m.demand.Decode = weight*m.demand.Decode + (1-weight)*rate.Decode
}
