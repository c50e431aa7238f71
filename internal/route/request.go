package route

import "github.com/acacialink/acacialink/internal/backing"

// Phase is the part of a generation that an endpoint is to run.
type Phase uint8

// The phases of a generation.
const (
	// PhaseWhole is prefill and decode on one endpoint.
	PhaseWhole Phase = iota
	// PhasePrefill is the prefill only; the KV cache is exported afterwards.
	PhasePrefill
	// PhaseDecode is the decode only, from an imported KV cache.
	PhaseDecode
)

// Request holds the attributes of a request that policies consider.
type Request struct {
	Model   string
	Adapter string
	// Prefix is backing.PrefixHashes of the prompt. It may be empty.
	Prefix []uint64
	// PromptTokens is the length of the prompt, in tokens.
	PromptTokens int
	// MaxTokens is the maximum length of the output, in tokens.
	MaxTokens int
	// Priority is higher for latency-sensitive requests. Requests with a
	// priority of zero or less avoid endpoints with little free KV cache.
	Priority int
	// Domain is the failure domain of the entry host.
	Domain string
	// Exclude is the set of endpoints that have already been tried.
	Exclude map[string]struct{}
	Phase   Phase
}

// kvBlocks returns the number of KV cache blocks that the request needs at its
// maximum length.
func (r *Request) kvBlocks() int64 {
	tokens := r.PromptTokens
	if r.Phase != PhasePrefill {
		tokens += r.MaxTokens
	}
	return int64(tokens+backing.KVBlockTokens-1) / backing.KVBlockTokens
}

// work returns the work that the request adds to an endpoint when it starts.
func (r *Request) work() Work {
	work := Work{Requests: 1, PromptTokens: int64(r.PromptTokens), KVBlocks: r.kvBlocks()}
	if r.Phase == PhaseDecode {
		work.PromptTokens = 0
	}
	return work
}
