package once

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
	l := &batchFilter{shard: s, now: time.Now(), pending: make(map[keyHash]*record)}
	var rest []*op
	for _, o := range batch {
		if l.needsWrite(o) {
			rest = append(rest, o)
		}
	}
	return rest
}

func (l *batchFilter) needsWrite(o *op) bool {
	if o.isClaim() {
		return l.claimNeedsWrite(o)
	}
	return l.outcomeNeedsWrite(o)
}

func (l *batchFilter) find(k keyHash) *record {
	if r, changed := l.pending[k]; changed {
		return r
	}
	return l.shard.log.index.find(k, l.now, l.shard.options.Retention)
}

func (l *batchFilter) claimNeedsWrite(o *op) bool {
	found := l.find(o.entry.Key)
	if found != nil && found.claimID == o.entry.Mark {
		l.shard.entryCommitted(o)
		return false
	}
	if found != nil && !l.shard.faults.mayTakeOver(found) {
		o.settle(opResult{existing: found})
		return false
	}
	if o.status.Load() != opWaiting {
		return false
	}
	if len(l.shard.log.index.records)+len(l.pending) >= l.shard.options.ShardClaims {
		o.settle(opResult{err: errTooManyClaims()})
		return false
	}
	l.pending[o.entry.Key] = &record{claimID: o.entry.Mark, body: o.entry.Body, at: o.entry.At, state: stateClaimed}
	return true
}

// outcomeNeedsWrite returns true for an outcome of the current claim of the key,
// and for one with force set if the key is not claimed.
func (l *batchFilter) outcomeNeedsWrite(o *op) bool {
	found := l.find(o.entry.Key)
	current := found != nil && found.claimID == o.entry.Mark
	if !current && (found != nil || !o.force) {
		o.notifyRecorded()
		return false
	}
	if o.entry.State == stateAbandoned {
		l.pending[o.entry.Key] = nil
	}
	return true
}
