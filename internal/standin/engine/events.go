package engine

import (
	"context"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/pkg/errors"
)

// maxEvents bounds the cache events that the engine remembers.
const maxEvents = 4_096

// events are the cache events in sequence, each with the time it happened.
type events struct {
	sequence uint64
	list     []timedEvent
}

type timedEvent struct {
	backing.CacheEvent
	at time.Time
}

// cacheChanged notes a change of the prefix cache. Called with mu held.
func (e *Engine) cacheChanged(prefix uint64, evicted bool) {
	e.events.sequence++
	loss := max(e.options.CacheEventLoss, e.faults.CacheEventLoss)
	if loss > 0 && e.random.Float64() < loss {
		return
	}
	event := backing.CacheEvent{Sequence: e.events.sequence, Prefix: prefix, Evicted: evicted}
	e.events.list = append(e.events.list, timedEvent{CacheEvent: event, at: time.Now()})
	if len(e.events.list) > maxEvents {
		e.events.list = e.events.list[1:]
	}
}

// CacheEvents implements backing.Engine.
func (e *Engine) CacheEvents(ctx context.Context, after uint64) ([]backing.CacheEvent, error) {
	if err := e.holdIfHung(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Crashed {
		return nil, errors.Wrap(backing.ErrUnavailable, "engine crashed")
	}
	seen := time.Now().Add(-e.options.CacheEventLag)
	list := []backing.CacheEvent{}
	for _, event := range e.events.list {
		if event.Sequence > after && !event.at.After(seen) {
			list = append(list, event.CacheEvent)
		}
	}
	return list, nil
}
