package role

import (
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// Engine is one engine as its agent last described it.
type Engine struct {
	Name string
	// Incarnation differs for each start of the agent; counts begin at zero.
	Incarnation string
	Role        backing.Role
	// Ready is false while the engine changes or loads.
	Ready bool
	// Draining engines are on their way out and count for nothing.
	Draining bool
	// At is when the engine's load was measured.
	At time.Time
	// PromptTokens and OutputTokens count tokens prefilled and generated since
	// the agent's start.
	PromptTokens, OutputTokens int64
	// WaitingPromptTokens is prompt work not yet prefilled.
	WaitingPromptTokens int64
	// Running and Waiting count generations.
	Running, Waiting int
}

// Capacity is what one engine does in a second when it does nothing else.
type Capacity struct {
	PrefillTokens, DecodeTokens float64
}

// Change is an order to be given to one engine.
type Change struct {
	Engine string
	Role   backing.Role
	// Reason says why, for logs and dumps.
	Reason string
}
