package backing

import "sync/atomic"

// EraSource is a store that may come back from an older copy of itself. Its era rises by one
// each time; what was written since the copy is gone then, and revisions and leases are given
// out again.
type EraSource interface {
	// Era returns the latest era known; 0 if none is.
	Era() int64
	// OnEra sets a function that is called with each later era, and with the one before it,
	// which is 0 at first. It is called before the store is used.
	OnEra(changed func(before, now int64))
}

// Eras tracks the era of a store. It is safe for concurrent use.
type Eras struct {
	current atomic.Int64
	changed func(before, now int64)
}

// Era implements EraSource.
func (e *Eras) Era() int64 { return e.current.Load() }

// OnEra implements EraSource.
func (e *Eras) OnEra(changed func(before, now int64)) { e.changed = changed }

// Observe records the era of an answer.
func (e *Eras) Observe(era int64) {
	for {
		before := e.current.Load()
		if era <= before {
			return
		}
		if !e.current.CompareAndSwap(before, era) {
			continue
		}
		if e.changed != nil {
			e.changed(before, era)
		}
		return
	}
}
