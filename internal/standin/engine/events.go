package engine

import (
	"context"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/pkg/errors"
)

// maxCacheEvents is the maximum number of cache events retained.
const maxCacheEvents = 4_096

// cacheEventLog holds the latest cache events in sequence order.
type cacheEventLog struct {
	lastSequence uint64
	entries      []timedEvent
}

// timedEvent is a cache event with the time at which it happened.
type timedEvent struct {
	backing.CacheEvent
	at time.Time
}

// recordCacheEvent records a change of the prefix cache. A lost event uses up
// its sequence number. The caller must hold mu.
func (e *Engine) recordCacheEvent(prefix uint64, evicted bool) {
	e.cacheEvents.lastSequence++
	loss := max(e.options.CacheEventLoss, e.faults.CacheEventLoss)
	if loss > 0 && e.random.Float64() < loss {
		return
	}
	event := backing.CacheEvent{Sequence: e.cacheEvents.lastSequence, Prefix: prefix, Evicted: evicted}
	e.cacheEvents.entries = append(e.cacheEvents.entries, timedEvent{CacheEvent: event, at: time.Now()})
	if len(e.cacheEvents.entries) > maxCacheEvents {
		e.cacheEvents.entries = e.cacheEvents.entries[1:]
	}
}

// CacheEvents implements backing.Engine. Events become visible after
// Options.CacheEventLag.
func (e *Engine) CacheEvents(ctx context.Context, after uint64) ([]backing.CacheEvent, error) {
	if err := e.waitWhileHung(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Crashed {
		return nil, errors.Wrap(backing.ErrUnavailable, "engine crashed")
	}
	cutoff := time.Now().Add(-e.options.CacheEventLag)
	list := []backing.CacheEvent{}
	for _, event := range e.cacheEvents.entries {
		if event.Sequence > after && !event.at.After(cutoff) {
			list = append(list, event.CacheEvent)
		}
	}
	return list, nil
}
