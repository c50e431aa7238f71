package backing

import (
	"context"
	"time"
)

// Role is the work that a model engine performs: prefill, decode or both.
type Role string

// The roles of an engine.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// KVBlockTokens is the size of one KV cache block, in tokens.
const KVBlockTokens = 1000

// Generation is a request to a model engine to generate tokens.
type Generation struct {
	// ID is the request ID. An engine treats a second request with the same
	// ID and a higher Resume as a resumption.
	ID      string
	Model   string
	Adapter string
	// Priority orders the engine's queue; higher values run first.
	Priority int
	// Prompt is the prompt text. Engines count one token per four bytes, at
	// least one; see Tokens.
	Prompt string
	// MaxTokens limits the length of the output, in tokens.
	MaxTokens int
	// Resume is the number of output tokens that the caller already has; the
	// engine continues with the next one.
	Resume int
	// KVHandle names an imported KV cache; empty means none.
	KVHandle string
	// PrefillOnly ends the generation after prefill; the engine retains the
	// KV cache for export.
	PrefillOnly bool
}

// Token is one generated token.
type Token struct {
	// Index is the zero-based position in the whole output, including the
	// tokens before a resumption.
	Index int
	Text  string
}

// Finish is the final result of a generation.
type Finish struct {
	// Reason is "stop" or "length".
	Reason string
	// PromptTokens and OutputTokens are the counts reported by the engine.
	// OutputTokens includes the tokens generated before a resumption.
	PromptTokens, OutputTokens int
	// CachedTokens is the number of prompt tokens served by the prefix cache.
	CachedTokens int
}

// EngineLoad is a load report of an engine. It lags behind the engine's state.
type EngineLoad struct {
	Role Role `json:"role"`
	// Models lists the loaded models.
	Models []string `json:"models"`
	// Adapters lists the loaded adapters as "model/adapter".
	Adapters []string `json:"adapters"`
	// Running is the number of generations in progress.
	Running int `json:"running"`
	// Waiting is the number of queued generations.
	Waiting int `json:"waiting"`
	// WaitingPromptTokens is the number of prompt tokens not yet prefilled.
	WaitingPromptTokens int `json:"waiting_prompt_tokens"`
	// FreeBlocks is the number of free KV cache blocks of KVBlockTokens tokens.
	FreeBlocks int `json:"free_pieces"`
	// TotalBlocks is the number of all KV cache blocks.
	TotalBlocks int `json:"total_pieces"`
	// Ready is false while a role change or a load is in progress.
	Ready bool `json:"ready"`
	// Age is the time since the report was made.
	Age time.Duration `json:"age_ns"`
}

// CacheEvent reports that a prefix was added to or evicted from an engine's
// cache. Events may be delayed or lost.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Prefix is the hash of a whole number of KV cache blocks of a prompt; see
	// PrefixHashes.
	Prefix  uint64 `json:"prefix"`
	Evicted bool   `json:"evicted"`
}

// OrderKind is the change that an order requests.
type OrderKind string

// The kinds of orders.
const (
	OrderSetRole       OrderKind = "set-role"
	OrderLoadModel     OrderKind = "load-model"
	OrderUnloadModel   OrderKind = "unload-model"
	OrderLoadAdapter   OrderKind = "load-adapter"
	OrderUnloadAdapter OrderKind = "unload-adapter"
)

// Order asks an engine to change its role or to load or unload a model or adapter.
type Order struct {
	// ID is the idempotency key: an order that is sent twice is applied once.
	ID string `json:"id"`
	// Fence is the fencing token of the lease under which the order was issued.
	Fence int64     `json:"fence"`
	Kind  OrderKind `json:"kind"`
	Role  Role      `json:"role,omitempty"`
	Model string    `json:"model,omitempty"`
	// Adapter is set for adapter orders.
	Adapter string `json:"adapter,omitempty"`
	// Issuer is the name of the process that sends the order; engines record it.
	Issuer string `json:"issuer"`
}

// Engine is a model engine that runs next to an agent.
type Engine interface {
	// Generate streams a generation. emit is called once per token, in order;
	// an error from emit cancels the generation. If the engine refuses the
	// request before it starts, the error is ErrUnavailable or ErrRejected; if
	// the stream breaks, ErrUnknown.
	Generate(ctx context.Context, g Generation, emit func(Token) error) (Finish, error)
	// Cancel stops a generation by its ID; an unknown ID is not an error.
	Cancel(ctx context.Context, id string) error
	// Load returns the engine's latest load report.
	Load(ctx context.Context) (EngineLoad, error)
	// CacheEvents returns the events after the given sequence number.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	// Apply sends an order and returns when the engine has finished or refused
	// it. The error is ErrFenced for an old fencing token, if the engine checks
	// fencing tokens.
	Apply(ctx context.Context, o Order) error
	// ExportKV returns the KV cache of a finished prefill or a running
	// generation as opaque bytes. It must be released.
	ExportKV(ctx context.Context, id string) (KVCache, error)
	// ImportKV imports a KV cache under a handle for Generation.KVHandle.
	ImportKV(ctx context.Context, handle string, value []byte) error
}

// bytesPerToken is the estimate for English text that the engines use.
const bytesPerToken = 4

// Tokens estimates the number of tokens in a prompt as the engines do.
func Tokens(prompt string) int {
	return max(1, (len(prompt)+bytesPerToken-1)/bytesPerToken)
}
