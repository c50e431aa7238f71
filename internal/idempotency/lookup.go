package idempotency

import "time"

// batchFilter determines which entries of a batch need a write. Each entry is
// checked against the state that the preceding entries of the batch leave.
type batchFilter struct {
	shard *shard
	now   time.Time
	// pending holds the keys that the batch changes; nil means released.
	pending map[keyHash]*record
}

// filterBatch settles the entries that need no write and returns the others.
func (s *shard) filterBatch(batch []*op) []*op {
	f := &batchFilter{shard: s, now: time.Now(), pending: make(map[keyHash]*record)}
	var remaining []*op
	for _, o := range batch {
		if f.needsWrite(o) {
			remaining = append(remaining, o)
		}
	}
	return remaining
}

func (f *batchFilter) needsWrite(o *op) bool {
	if o.isClaim() {
		return f.claimNeedsWrite(o)
	}
	return f.outcomeNeedsWrite(o)
}

func (f *batchFilter) find(k keyHash) *record {
	if r, changed := f.pending[k]; changed {
		return r
	}
	return f.shard.log.index.find(k, f.now, f.shard.options.Retention)
}

func (f *batchFilter) claimNeedsWrite(o *op) bool {
	found := f.find(o.entry.Key)
	if found != nil && found.claimID == o.entry.ClaimID {
		f.shard.entryCommitted(o)
		return false
	}
	if found != nil && !f.shard.faults.mayTakeOver(found) {
		o.settle(opResult{existing: found})
		return false
	}
	if o.status.Load() != opWaiting {
		return false
	}
	if len(f.shard.log.index.records)+len(f.pending) >= f.shard.options.MaxShardClaims {
		o.settle(opResult{err: errTooManyClaims()})
		return false
	}
	f.pending[o.entry.Key] = &record{claimID: o.entry.ClaimID, body: o.entry.Body, at: o.entry.At, state: stateClaimed}
	return true
}

// outcomeNeedsWrite returns true for an outcome of the current claim of the key,
// and for one with force set if the key is not claimed.
func (f *batchFilter) outcomeNeedsWrite(o *op) bool {
	found := f.find(o.entry.Key)
	current := found != nil && found.claimID == o.entry.ClaimID
	if !current && (found != nil || !o.force) {
		o.notifyRecorded()
		return false
	}
	if o.entry.State == stateAbandoned {
		f.pending[o.entry.Key] = nil
	}
	return true
}
