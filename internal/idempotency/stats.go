package idempotency

import "sync/atomic"

// Stats counts events since the start of the process.
type Stats struct {
	// Claims counts the claims that were written.
	Claims atomic.Int64
	// Replays counts the repeats that were answered with a recorded response.
	Replays atomic.Int64
	// Repeats counts the repeats that got the verdict MayHaveRun.
	Repeats atomic.Int64
	// Refusals counts the requests that failed to claim their key.
	Refusals atomic.Int64
	// Reads counts store reads.
	Reads atomic.Int64
	// Writes counts store writes, including grants of leases.
	Writes atomic.Int64
	// Conflicts counts writes that failed because another host changed the head.
	Conflicts atomic.Int64
	// ReadBacks counts writes without an answer whose outcome was determined by
	// reading the head again.
	ReadBacks atomic.Int64
	// UnknownWrites counts writes without an answer whose outcome remained unknown.
	UnknownWrites atomic.Int64
	// Dropped counts outcomes that were not recorded because the queue was full.
	Dropped atomic.Int64
}

// Snapshot returns the counters by name, for expvar and the state dump.
func (s *Stats) Snapshot() map[string]int64 {
	return map[string]int64{
		"claims":     s.Claims.Load(),
		"replays":    s.Replays.Load(),
		"repeats":    s.Repeats.Load(),
		"refusals":   s.Refusals.Load(),
		"reads":      s.Reads.Load(),
		"writes":     s.Writes.Load(),
		"conflicts":  s.Conflicts.Load(),
		"read_backs": s.ReadBacks.Load(),
		"unsettled":  s.UnknownWrites.Load(),
		"dropped":    s.Dropped.Load(),
	}
}
