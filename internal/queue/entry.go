package queue

import "time"

// State is the state of an entry.
type State uint8

// The states of an entry.
const (
	// Waiting entries are queued in a lane.
	Waiting State = iota
	// Admitted entries have reserved capacity.
	Admitted
	// Refused entries were evicted, reached their deadline or were canceled.
	Refused
	// Released entries have released their capacity.
	Released
)

// Entry is an item queued in or admitted by a Scheduler.
type Entry struct {
	Item
	State State
	// Err is the *verdict.Error with the verdict NotRun of a refused entry, and
	// nil otherwise.
	Err error
	// Deadline is the time at which the entry is refused if it is still waiting.
	Deadline time.Time

	lane *lane
	flow *flow
	// prefillTokens is the prefill capacity that an admitted entry has reserved.
	prefillTokens int64
	// kvBlocks is the number of KV cache blocks that an admitted entry has
	// reserved.
	kvBlocks int64
}
