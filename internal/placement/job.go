// Package placement selects the prefill engine and the decode engine of a
// generation. It predicts the time to the first event from the load that this
// host and its peers have on each engine, the prefix segments that engines have
// cached, and the observed prefill rates. It does no I/O.
package placement

import (
	"time"

	"github.com/acacialink/acacialink/internal/endpoint"
)

// Part is one prefix segment of a prompt; a prompt lists its segments in order.
// The last segment belongs to the request alone, the others are shared.
type Part struct {
	Hash   uint64
	Tokens int
}

// Job is one generation to be placed. Prompt and Output are in tokens.
type Job struct {
	Prompt, Output int
	Parts          []Part
	// Domain is the failure domain of the host that places the job.
	Domain string
	// Exclude holds the IDs of engines that have already been tried.
	Exclude map[string]bool
	// Whole disables split prefill.
	Whole bool
}

// Memory describes the KV cache of a service's engines and its transfer between
// them.
type Memory struct {
	// TokenBytes is the KV cache of one token, in bytes.
	TokenBytes int64
	// LinkMbps is the bandwidth between engines, in Mbit/s; 0 disables fetches.
	LinkMbps float64
	// Capacity is the KV cache of one engine, in tokens; 0 means unknown.
	Capacity int64
}

// transferPerToken returns the time to transfer the KV cache of one token.
func (m Memory) transferPerToken() time.Duration {
	if m.LinkMbps <= 0 {
		return 0
	}
	return time.Duration(float64(m.TokenBytes) * 8 / m.LinkMbps * float64(time.Microsecond))
}

// Plan is the placement of a job.
type Plan struct {
	// Prefill is the prefill engine; nil if Run also prefills the prompt.
	Prefill *endpoint.Endpoint
	// Run is the decode engine.
	Run *endpoint.Endpoint
	// Fetch is the address of an engine from which the engine that prefills the
	// prompt fetches cached segments that it lacks; empty for none.
	Fetch string
	// FirstEvent is the predicted time to the first event, Read the number of
	// tokens to prefill.
	FirstEvent time.Duration
	Read       int
}

// Reader returns the engine that prefills the prompt.
func (p *Plan) Reader() *endpoint.Endpoint {
	if p.Prefill != nil {
		return p.Prefill
	}
	return p.Run
}
