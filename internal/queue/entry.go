package queue

import "time"

// State says what has become of an entry.
type State uint8

// The states of an entry.
const (
	// Waiting entries are in a lane.
	Waiting State = iota
	// Admitted entries hold capacity.
	Admitted
	// Refused entries were pushed out or waited too long.
	Refused
	// Released entries have given their capacity back.
	Released
)

// Entry is one item in a Core.
type Entry struct {
	Item
	State State
	// Err is set for refused entries: a *verdict.Error with NotRun.
	Err error
	// Deadline is when a waiting entry is refused.
	Deadline time.Time

	lane *lane
	flow *flow
	// prefill and pieces are the capacity that an admitted entry holds.
	prefill int64
	pieces  int64
}
