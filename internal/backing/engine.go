package backing

import (
	"context"
	"time"
)

// Role is what a model engine spends its time on.
type Role string

// The roles of an engine.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// PieceTokens is the size of one piece of engine memory, in tokens.
const PieceTokens = 1000

// Generation is one request to a model engine.
type Generation struct {
	// ID is the request id; an engine treats a second one with the same id
	// and a higher Resume as a resumption.
	ID      string
	Model   string
	Adapter string
	// Priority orders the engine's queue; higher goes first.
	Priority int
	// Prompt is the text of the prompt; one token is four bytes of it, at
	// least one (the engines' estimate, see Tokens).
	Prompt string
	// MaxTokens bounds the answer.
	MaxTokens int
	// Resume is how many tokens of the answer the caller already has; the
	// engine goes on with the next one.
	Resume int
	// KVHandle names an imported KV cache, empty for none.
	KVHandle string
	// PrefillOnly ends the generation after the prompt; the engine keeps its
	// KV cache for export.
	PrefillOnly bool
}

// Token is one generated token.
type Token struct {
	// Index counts from zero over the whole answer, resumed parts included.
	Index int
	Text  string
}

// Finish ends a generation.
type Finish struct {
	// Reason is "stop" or "length".
	Reason string
	// PromptTokens and OutputTokens are what the engine counted; OutputTokens
	// includes tokens of the answer before a resumption.
	PromptTokens, OutputTokens int
	// CachedTokens is the part of the prompt that the prefix cache served.
	CachedTokens int
}

// EngineLoad is an engine's own report of its load. It lags.
type EngineLoad struct {
	Role Role `json:"role"`
	// Models are the loaded models, Adapters "model/adapter".
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
	// Running and Waiting count generations.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// WaitingPromptTokens is the prompt work not yet prefilled.
	WaitingPromptTokens int `json:"waiting_prompt_tokens"`
	// FreePieces and TotalPieces count memory pieces of PieceTokens tokens.
	FreePieces  int `json:"free_pieces"`
	TotalPieces int `json:"total_pieces"`
	// Ready is false while a role change or a load is going on.
	Ready bool `json:"ready"`
	// Age is how old the report is.
	Age time.Duration `json:"age_ns"`
}

// CacheEvent reports that a prefix entered or left an engine's cache. Events
// come late and with gaps.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Prefix is PrefixHash of a whole number of pieces of a prompt.
	Prefix  uint64 `json:"prefix"`
	Evicted bool   `json:"evicted"`
}

// OrderKind names what an order asks of an engine.
type OrderKind string

// The kinds of orders.
const (
	OrderSetRole       OrderKind = "set-role"
	OrderLoadModel     OrderKind = "load-model"
	OrderUnloadModel   OrderKind = "unload-model"
	OrderLoadAdapter   OrderKind = "load-adapter"
	OrderUnloadAdapter OrderKind = "unload-adapter"
)

// Order asks an engine to change its role or what it has loaded.
type Order struct {
	// ID is the idempotency key: the same order sent twice acts once.
	ID string `json:"id"`
	// Fence is the fencing number of the lease under which it was issued.
	Fence int64     `json:"fence"`
	Kind  OrderKind `json:"kind"`
	Role  Role      `json:"role,omitempty"`
	Model string    `json:"model,omitempty"`
	// Adapter is set for adapter orders.
	Adapter string `json:"adapter,omitempty"`
	// Issuer names the process that sends the order; engines record it.
	Issuer string `json:"issuer"`
}

// Engine is a model engine beside an agent.
type Engine interface {
	// Generate streams a generation. emit is called once a token, in order;
	// an error from emit cancels the generation. A refusal before the engine
	// started is ErrUnavailable or ErrRejected; a broken stream ErrUnknown.
	Generate(ctx context.Context, g Generation, emit func(Token) error) (Finish, error)
	// Cancel stops a generation by its id; an unknown id is no error.
	Cancel(ctx context.Context, id string) error
	// Load returns the engine's last load report.
	Load(ctx context.Context) (EngineLoad, error)
	// CacheEvents returns events after the sequence number.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	// Apply gives an order. It returns when the engine has finished or
	// refused it: ErrFenced for an old fencing number where the engine checks.
	Apply(ctx context.Context, o Order) error
	// ExportKV returns the KV cache of a finished prefill or a running
	// generation as an opaque value.
	ExportKV(ctx context.Context, id string) ([]byte, error)
	// ImportKV gives the engine a KV cache under a handle for Generation.KVHandle.
	ImportKV(ctx context.Context, handle string, value []byte) error
}

// bytesPerToken is the engines' estimate of English text.
const bytesPerToken = 4

// Tokens estimates the tokens of a prompt as the engines do.
func Tokens(prompt string) int {
	return max(1, (len(prompt)+bytesPerToken-1)/bytesPerToken)
}
