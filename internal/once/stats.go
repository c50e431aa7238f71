package once

import "sync/atomic"

// Stats counts since the start of the process.
type Stats struct {
	// Claims were written, Replays answered from a record.
	Claims  atomic.Int64
	Replays atomic.Int64
	// Repeats were answered "may have run".
	Repeats atomic.Int64
	// Refusals for want of the store.
	Refusals atomic.Int64
	// Reads and Writes are calls of the store; Conflicts are lost races.
	Reads     atomic.Int64
	Writes    atomic.Int64
	Conflicts atomic.Int64
	// ReadBacks are lost answers that were settled, Unsettled those that were not.
	ReadBacks atomic.Int64
	Unsettled atomic.Int64
	// Dropped results were not recorded for want of room.
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
		"unsettled":  s.Unsettled.Load(),
		"dropped":    s.Dropped.Load(),
	}
}
