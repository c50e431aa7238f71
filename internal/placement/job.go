// Package placement decides at which engine a prompt is prefilled and at which
// its answer is generated. It predicts the time to the first event from the
// work that this host and its peers have at each engine, the prompt parts that
// engines hold, and the speeds that were observed. It does no I/O.
package placement

import (
	"time"

	"github.com/acacialink/acacialink/internal/endpoint"
)

// Part is one shared or own part of a prompt, in order.
type Part struct {
	Hash   uint64
	Tokens int
}

// Job is one generation to be placed.
type Job struct {
	Prompt, Output int
	Parts          []Part
	// Domain is the failure domain of the host that places it.
	Domain string
	// Exclude holds the IDs of engines that were tried already.
	Exclude map[string]bool
	// Whole forbids to prefill apart.
	Whole bool
}

// Memory describes how KV cache moves between engines of a service.
type Memory struct {
	TokenBytes int64
	LinkMbps   float64
	// Capacity is the KV cache of one engine, in tokens.
	Capacity int64
}

// perToken is the time to move the cache of one token.
func (m Memory) perToken() time.Duration {
	if m.LinkMbps <= 0 {
		return 0
	}
	return time.Duration(float64(m.TokenBytes) * 8 / m.LinkMbps * float64(time.Microsecond))
}

// Plan is where a job goes.
type Plan struct {
	// Prefill is nil when the prompt is read where the answer is generated.
	Prefill *endpoint.Endpoint
	Run     *endpoint.Endpoint
	// Fetch is the address of an engine from which the reader of the prompt
	// takes parts that it lacks; empty for none.
	Fetch string
	// FirstEvent is the predicted time to the first event, Read the tokens to
	// be prefilled.
	FirstEvent time.Duration
	Read       int
}

// Reader is the engine that prefills the prompt.
func (p *Plan) Reader() *endpoint.Endpoint {
	if p.Prefill != nil {
		return p.Prefill
	}
	return p.Run
}
