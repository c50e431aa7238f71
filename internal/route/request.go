package route

import "github.com/acacialink/acacialink/internal/backing"

// Phase is the part of a generation that an endpoint is wanted for.
type Phase uint8

// The phases of a generation.
const (
	// PhaseWhole is the prompt and the answer on one endpoint.
	PhaseWhole Phase = iota
	// PhasePrefill is the prompt alone; the KV cache is exported afterwards.
	PhasePrefill
	// PhaseDecode is the answer alone, from an imported KV cache.
	PhaseDecode
)

// Request is what a policy needs to know of a request.
type Request struct {
	Model   string
	Adapter string
	// Prefix is backing.PrefixHashes of the prompt; empty is allowed.
	Prefix []uint64
	// PromptTokens and MaxTokens are in tokens.
	PromptTokens int
	MaxTokens    int
	// Priority is higher for callers who wait. A request with a priority of
	// zero or less gives way: it is kept off endpoints that are short of memory.
	Priority int
	// Domain is the failure domain of the entry host.
	Domain string
	// Exclude holds the names of endpoints that were tried already.
	Exclude map[string]struct{}
	Phase   Phase
}

// pieces is the engine memory that the request needs at its longest.
func (r *Request) pieces() int64 {
	tokens := r.PromptTokens
	if r.Phase != PhasePrefill {
		tokens += r.MaxTokens
	}
	return int64(tokens+backing.PieceTokens-1) / backing.PieceTokens
}

// work is what the request adds to an endpoint when it starts there.
func (r *Request) work() Work {
	w := Work{Requests: 1, PromptTokens: int64(r.PromptTokens), Pieces: r.pieces()}
	if r.Phase == PhaseDecode {
		w.PromptTokens = 0
	}
	return w
}
