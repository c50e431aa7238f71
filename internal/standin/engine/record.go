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
	// Prompt is the Seed of model, adapter and prompt.
	Prompt   uint64 `json:"prompt"`
	Priority int    `json:"priority"`
	Resume   int    `json:"resume"`
	// PromptTokens, OutputTokens and CachedTokens are as in backing.Finish.
	PromptTokens int       `json:"prompt_tokens"`
	OutputTokens int       `json:"output_tokens"`
	CachedTokens int       `json:"cached_tokens"`
	Start        time.Time `json:"start"`
	End          time.Time `json:"end,omitzero"`
	// Started is true once the engine has begun to work on it.
	Started bool `json:"started,omitempty"`
	// Refused is the reason when the engine did not accept it.
	Refused string `json:"refused,omitempty"`
	// Outcome is "stop", "length" or the error once it has ended.
	Outcome string `json:"outcome,omitempty"`
	// Header is what came with it over HTTP.
	Header map[string][]string `json:"header,omitempty"`
}

// OrderRecord is one order that the engine received.
type OrderRecord struct {
	backing.Order
	Start time.Time `json:"start"`
	End   time.Time `json:"end,omitzero"`
	// Result is "done" or the error once it has ended.
	Result string `json:"result,omitempty"`
	// Overlaps is true if another order was in progress at its start.
	Overlaps bool `json:"overlaps,omitempty"`
	// Repeat is true if an order with its id came before.
	Repeat bool `json:"repeat,omitempty"`
	// HighestFence is the highest fencing number received before it.
	HighestFence int64 `json:"highest_fence"`
}

// Record is all that the engine received.
type Record struct {
	Name          string             `json:"name"`
	ChecksFencing bool               `json:"checks_fencing"`
	Orders        []OrderRecord      `json:"orders"`
	Generations   []GenerationRecord `json:"generations"`
}

// Record returns what the engine received, crashes included.
func (e *Engine) Record() Record {
	return Record{
		Name:          e.options.Name,
		ChecksFencing: e.options.ChecksFencing,
		Orders:        e.orders.All(),
		Generations:   e.generations.All(),
	}
}

func (e *Engine) recordStart(s *sequence, header map[string][]string, refused error) int {
	r := GenerationRecord{
		ID: s.request.ID, Model: s.request.Model, Adapter: s.request.Adapter, Prompt: s.seed,
		Priority: s.request.Priority, Resume: s.request.Resume, PromptTokens: s.prompt,
		Start: s.since, Header: header,
	}
	if refused != nil {
		r.Refused = refused.Error()
		r.End = r.Start
	}
	return e.generations.Add(r)
}

func (e *Engine) recordEnd(s *sequence, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.generations.Update(s.number, func(r *GenerationRecord) {
		r.End = time.Now()
		r.OutputTokens = s.next
		r.CachedTokens = s.cached
		r.Started = s.started
		r.Outcome = s.reason
		if err != nil {
			r.Outcome = err.Error()
		}
	})
}

// recordOrder is called with mu held.
func (e *Engine) recordOrder(o backing.Order) int {
	return e.orders.Add(OrderRecord{
		Order: o, Start: time.Now(), HighestFence: e.received,
		Overlaps: e.applying > 0 && e.applied[o.ID] == nil,
	})
}

func (e *Engine) recordRepeat(number int) {
	e.orders.Update(number, func(r *OrderRecord) {
		r.End = time.Now()
		r.Repeat = true
	})
}

func (e *Engine) recordOrderEnd(number int, err error) {
	e.orders.Update(number, func(r *OrderRecord) {
		r.End = time.Now()
		r.Result = "done"
		if err != nil {
			r.Result = err.Error()
		}
	})
}
