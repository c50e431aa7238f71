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
	// Tokens counts tokens streamed from the engine.
	Tokens atomic.Int64
	// Prefilled counts prompt tokens that the engine prefilled, without those
	// served from its prefix cache.
	Prefilled atomic.Int64
	// Pulled counts bytes of KV caches imported from other agents.
	Pulled atomic.Int64
}
