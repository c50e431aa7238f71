package agent

import "sync/atomic"

// Stats counts an agent's requests.
type Stats struct {
	// Generations and Calls count requests given to the endpoint.
	Generations, Calls atomic.Int64
	// Refused counts requests refused without being run.
	Refused atomic.Int64
	// Failed counts requests that the endpoint did not finish.
	Failed atomic.Int64
	// Tokens counts tokens streamed from the engine.
	Tokens atomic.Int64
	// Prefilled counts prompt tokens that the engine worked on; those that its
	// cache served are not among them.
	Prefilled atomic.Int64
	// Pulled counts bytes of KV caches fetched from other agents.
	Pulled atomic.Int64
}
