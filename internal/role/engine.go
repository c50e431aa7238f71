package role

import (
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// Engine is the state of an engine as last reported by its agent.
type Engine struct {
	Name string
	// Incarnation differs for each start of the agent, which resets the counters.
	Incarnation string
	Role        backing.Role
	// Ready is false while the engine changes its role or loads a model.
	Ready bool
	// Draining reports whether the engine is being removed. It is then ignored.
	Draining bool
	// At is when the engine's load was measured.
	At time.Time
	// PromptTokens and OutputTokens are the tokens prefilled and generated since
	// the agent's start.
	PromptTokens, OutputTokens int64
	// WaitingPromptTokens is the number of queued prompt tokens that are not yet
	// prefilled.
	WaitingPromptTokens int64
	// Running and Waiting are the numbers of running and queued generations.
	Running, Waiting int
}

// Capacity is the throughput, in tokens per second, of an engine that serves only
// one role.
type Capacity struct {
	PrefillTokens, DecodeTokens float64
}

// Change is a role change of one engine.
type Change struct {
	Engine string
	Role   backing.Role
	// Reason is the explanation for logs and state dumps.
	Reason string
}
