package rpc

import "sync/atomic"

// Stats counts dropped messages and lost sessions. It may be shared by all
// sessions of a process.
type Stats struct {
	// Late counts messages for requests that have ended or are unknown.
	Late atomic.Int64
	// Mismatched counts messages whose request ID does not match their stream.
	Mismatched atomic.Int64
	// Silent counts sessions closed because nothing arrived within the silence
	// limit.
	Silent atomic.Int64
	// Ended counts sessions that ended, for whatever cause.
	Ended atomic.Int64
	// SlowCallers counts requests ended because the caller received too slowly.
	SlowCallers atomic.Int64
	// AnswersCut counts requests ended because their endpoint's answers took more memory
	// than they may.
	AnswersCut atomic.Int64
}
