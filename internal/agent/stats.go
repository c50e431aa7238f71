package agent

import "sync/atomic"

// Stats holds an agent's counters.
type Stats struct {
	// Generations and Calls count the requests forwarded to the endpoint.
	Generations, Calls atomic.Int64
	// Refused counts requests that were refused without being run.
	Refused atomic.Int64
	// Failed counts requests that the endpoint did not complete.
	Failed atomic.Int64
	// AnswersCut counts those of them whose answer was cut because the endpoint's answers
	// took more memory than they may, AnswersTooLong those whose answer was too long.
	AnswersCut, AnswersTooLong atomic.Int64
	// GeneratedTokens counts tokens streamed from the engine.
	GeneratedTokens atomic.Int64
	// PrefilledTokens counts prompt tokens that the engine prefilled, without those
	// served from its prefix cache.
	PrefilledTokens atomic.Int64
	// PulledKVBytes counts bytes of KV caches imported from other agents.
	PulledKVBytes atomic.Int64
}
