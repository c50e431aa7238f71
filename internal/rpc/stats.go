package rpc

import "sync/atomic"

// Stats counts what sessions dropped or lost. All sessions of a process may
// share one.
type Stats struct {
	// Late counts answers for requests that are over or unknown.
	Late atomic.Int64
	// Crossed counts answers whose request id does not match their stream.
	Crossed atomic.Int64
	// Silent counts sessions closed because nothing arrived.
	Silent atomic.Int64
	// Broken counts sessions that ended with an error.
	Broken atomic.Int64
	// SlowCallers counts requests ended because their reader was too slow.
	SlowCallers atomic.Int64
}
