package engine

import (
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// GenerationRecord is one generation that the engine received.
type GenerationRecord struct {
	ID      string `json:"id"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	// Prompt is the Seed of the model, adapter and prompt.
	Prompt   uint64 `json:"prompt"`
	Priority int    `json:"priority"`
	Resume   int    `json:"resume"`
	// PromptTokens, OutputTokens and CachedTokens are those of backing.Finish.
	PromptTokens int       `json:"prompt_tokens"`
	OutputTokens int       `json:"output_tokens"`
	CachedTokens int       `json:"cached_tokens"`
	Start        time.Time `json:"start"`
	End          time.Time `json:"end,omitzero"`
	// Started reports whether the engine admitted the generation to the batch.
	Started bool `json:"started,omitempty"`
	// Refused is the error text if the engine refused the generation.
	Refused string `json:"refused,omitempty"`
	// Outcome is "stop", "length" or the error text; empty until the generation
	// ends.
	Outcome string `json:"outcome,omitempty"`
	// Header holds the HTTP headers of the call; empty for a direct call.
	Header map[string][]string `json:"header,omitempty"`
}

// ResultDone is the result of an order that was executed.
const ResultDone = "done"

// OrderRecord is one order that the engine received.
type OrderRecord struct {
	backing.Order
	Start time.Time `json:"start"`
	End   time.Time `json:"end,omitzero"`
	// Result is ResultDone or the error text; empty until the execution ends.
	Result string `json:"result,omitempty"`
	// Overlaps reports whether another order was in progress when it was
	// received.
	Overlaps bool `json:"overlaps,omitempty"`
	// Repeat reports whether an order with the same ID was accepted before.
	Repeat bool `json:"repeat,omitempty"`
	// HighestFence is the highest fencing token received before this order.
	HighestFence int64 `json:"highest_fence"`
}

// Record lists the orders and generations received.
type Record struct {
	Name          string             `json:"name"`
	ChecksFencing bool               `json:"checks_fencing"`
	Orders        []OrderRecord      `json:"orders"`
	Generations   []GenerationRecord `json:"generations"`
}

// Record returns everything received so far; a crash does not clear it.
func (e *Engine) Record() Record {
	return Record{
		Name:          e.options.Name,
		ChecksFencing: e.options.ChecksFencing,
		Orders:        e.orders.All(),
		Generations:   e.generations.All(),
	}
}

// recordGeneration records a received generation and returns its record number.
// refused is the error if the engine refused it.
func (e *Engine) recordGeneration(s *sequence, header map[string][]string, refused error) int {
	r := GenerationRecord{
		ID: s.request.ID, Model: s.request.Model, Adapter: s.request.Adapter, Prompt: s.seed,
		Priority: s.request.Priority, Resume: s.request.Resume, PromptTokens: s.promptTokens,
		Start: s.acceptedAt, Header: header,
	}
	if refused != nil {
		r.Refused = refused.Error()
		r.End = r.Start
	}
	return e.generations.Add(r)
}

// recordGenerationEnd records the outcome of an accepted generation.
func (e *Engine) recordGenerationEnd(s *sequence, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.generations.Update(s.recordNumber, func(r *GenerationRecord) {
		r.End = time.Now()
		r.OutputTokens = s.nextToken
		r.CachedTokens = s.cachedTokens
		r.Started = s.started
		r.Outcome = s.finishReason
		if err != nil {
			r.Outcome = err.Error()
		}
	})
}

// recordOrder records a received order and returns its record number. The
// caller must hold mu.
func (e *Engine) recordOrder(o backing.Order) int {
	return e.orders.Add(OrderRecord{
		Order: o, Start: time.Now(), HighestFence: e.receivedFence,
		Overlaps: e.executing > 0 && e.executions[o.ID] == nil,
	})
}

// recordRepeat marks the record as that of a repeated order.
func (e *Engine) recordRepeat(number int) {
	e.orders.Update(number, func(r *OrderRecord) {
		r.End = time.Now()
		r.Repeat = true
	})
}

// recordOrderEnd records the result of an order.
func (e *Engine) recordOrderEnd(number int, err error) {
	e.orders.Update(number, func(r *OrderRecord) {
		r.End = time.Now()
		r.Result = ResultDone
		if err != nil {
			r.Result = err.Error()
		}
	})
}
