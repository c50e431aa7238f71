package placement

import (
	"time"

	"github.com/acacialink/acacialink/internal/endpoint"
)

const (
	// contextWeight is the smoothing weight of a prefill of contextMS or longer in the context
	// factor.
	contextWeight = 0.1
	contextMS     = 100.0
)

// countPrefill counts tokens that a prefill engine was given. The caller holds mu.
func (t *Tracker) countPrefill(state *engineState, tokens int64) {
	if state.stage == endpoint.StagePrefill {
		t.prefilled[state.service] += float64(tokens)
	}
}

// observeContext records by how much the context of a prefill adds to its time. Long prefills
// weigh more: they are most of the work. The caller holds mu.
func (t *Tracker) observeContext(stage endpoint.Stage, linearMS, contextPart float64) {
	if stage == endpoint.StagePrefill && linearMS > 0 {
		weight := contextWeight * min(1, linearMS/contextMS)
		t.contextFactor += weight * ((linearMS+contextPart)/linearMS - t.contextFactor)
	}
}

// PrefillWork returns the tokens of a service's prompts that prefill engines were given so far by
// all hosts, and the time that one takes of an engine.
func (t *Tracker) PrefillWork(service string) (tokens float64, perToken time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ms := t.prefills[endpoint.StagePrefill].msPerToken * t.contextFactor
	return t.prefilled[service], time.Duration(ms * float64(time.Millisecond))
}
