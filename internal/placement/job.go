// Package placement selects the prefill engine and the decode engine of a
// generation. It predicts the time to the first event from the load that this
// host and its peers have on each engine, the prefix segments that engines have
// cached, and the observed prefill rates. It does no I/O.
package placement

import (
	"time"

	"github.com/acacialink/acacialink/internal/endpoint"
)

// Segment is one prefix segment of a prompt; a prompt lists its segments in
// order. The last segment belongs to the request alone, the others are shared.
type Segment struct {
	Hash   uint64
	Tokens int
}

// Job is one generation to be placed.
type Job struct {
	// PromptTokens is the number of tokens of the prompt. OutputTokens is the
	// expected number of generated tokens.
	PromptTokens, OutputTokens int
	Segments                   []Segment
	// Domain is the failure domain of the host that places the job.
	Domain string
	// Exclude holds the IDs of engines that have already been tried.
	Exclude map[string]bool
	// NoSplit disables split prefill.
	NoSplit bool
	// Connected reports whether a send to an engine needs no new connection; nil if that is
	// not known.
	Connected func(e *endpoint.Endpoint) bool
}

// KVCache describes the KV cache of a service's engines and its transfer between
// them.
type KVCache struct {
	// TokenBytes is the KV cache size of one token, in bytes.
	TokenBytes int64
	// LinkMbps is the bandwidth between engines, in Mbit/s; 0 disables fetches.
	LinkMbps float64
	// Capacity is the KV cache capacity of one engine, in tokens; 0 means unknown.
	Capacity int64
}

// transferPerToken returns the time to transfer the KV cache of one token.
func (kv KVCache) transferPerToken() time.Duration {
	if kv.LinkMbps <= 0 {
		return 0
	}
	return time.Duration(float64(kv.TokenBytes) * 8 / kv.LinkMbps * float64(time.Microsecond))
}

// Plan is the placement of a job.
type Plan struct {
	// Prefill is the prefill engine; nil if Decode also prefills the prompt.
	Prefill *endpoint.Endpoint
	// Decode is the decode engine.
	Decode *endpoint.Endpoint
	// FetchFrom is the address of an engine from which the engine that
	// prefills the prompt fetches cached segments that it lacks; empty for none.
	FetchFrom string
	// FirstEvent is the predicted time to the first event.
	FirstEvent time.Duration
	// PrefillTokens is the number of tokens to prefill.
	PrefillTokens int
}

// PrefillEngine returns the engine that prefills the prompt.
func (p *Plan) PrefillEngine() *endpoint.Endpoint {
	if p.Prefill != nil {
		return p.Prefill
	}
	return p.Decode
}
