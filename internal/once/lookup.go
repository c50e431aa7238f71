package once

import "time"

// lookup decides which lines of one batch need a write. It sees the keys as
// the lines before in the batch leave them.
type lookup struct {
	shard *shard
	now   time.Time
	// held are the keys that the batch itself changes; nil is a free key.
	held map[keyHash]*record
}

// answerKnown settles the lines that need no write and returns the others.
func (s *shard) answerKnown(batch []*op) []*op {
	l := &lookup{shard: s, now: time.Now(), held: make(map[keyHash]*record)}
	var rest []*op
	for _, o := range batch {
		if l.needsWrite(o) {
			rest = append(rest, o)
		}
	}
	return rest
}

func (l *lookup) needsWrite(o *op) bool {
	if o.isClaim() {
		return l.claimNeedsWrite(o)
	}
	return l.outcomeNeedsWrite(o)
}

func (l *lookup) find(k keyHash) *record {
	if r, changed := l.held[k]; changed {
		return r
	}
	return l.shard.log.index.find(k, l.now, l.shard.options.Retention)
}

func (l *lookup) claimNeedsWrite(o *op) bool {
	found := l.find(o.entry.Key)
	if found != nil && found.mark == o.entry.Mark {
		l.shard.accepted(o)
		return false
	}
	if found != nil && !l.shard.broken.mayTakeOver(found) {
		o.settle(opResult{found: found})
		return false
	}
	if o.owner.Load() != opWaiting {
		return false
	}
	if len(l.shard.log.index.records)+len(l.held) >= l.shard.options.ShardClaims {
		o.settle(opResult{err: errFull()})
		return false
	}
	l.held[o.entry.Key] = &record{mark: o.entry.Mark, body: o.entry.Body, at: o.entry.At, state: stateClaimed}
	return true
}

// outcomeNeedsWrite is true for the outcome of the claim that holds the key,
// and for one with force set while nothing holds it.
func (l *lookup) outcomeNeedsWrite(o *op) bool {
	found := l.find(o.entry.Key)
	mine := found != nil && found.mark == o.entry.Mark
	if !mine && (found != nil || !o.force) {
		o.done()
		return false
	}
	if o.entry.State == stateAbandoned {
		l.held[o.entry.Key] = nil
	}
	return true
}
