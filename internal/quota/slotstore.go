package quota

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
)

// write replaces the table in the store with a compare-and-swap and reads it
// back.
func (s *Slots) write(ctx context.Context, table SlotTable, expect backing.Revision) error {
	value, err := json.Marshal(table)
	if err != nil {
		return errors.Wrap(err, "encode slot table")
	}
	writeCtx, cancel := context.WithTimeout(ctx, slotCallTimeout)
	defer cancel()
	if _, err := s.config.Store.CompareAndSwap(writeCtx, SlotTableKey, expect, value, 0); err != nil {
		return errors.Wrap(err, "write slot table")
	}
	return s.read(ctx)
}

// read loads the table from the store.
func (s *Slots) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, slotCallTimeout)
	defer cancel()
	kv, err := s.config.Store.Get(ctx, SlotTableKey)
	if err != nil && !errors.Is(err, backing.ErrNotFound) {
		return errors.Wrap(err, "read slot table")
	}
	s.setStale(false)
	return s.applyEntry(kv)
}

// watch applies the versions of the table that the store's watch returns, at
// most one per watchRetryDelay, so that a burst of changes does not wake all
// hosts for each.
func (s *Slots) watch(ctx context.Context) {
	watcher := backing.PrefixWatcher{
		Store: s.config.Store, Prefix: SlotTableKey,
		PollWait: slotWatchTimeout, Timeout: slotCallTimeout, RetryDelay: watchRetryDelay, WatchDelay: watchRetryDelay,
		Replace: s.applyEntries,
		Apply: func(events []backing.Event) error {
			for _, e := range events {
				if err := s.applyEntry(e.KeyValue); err != nil {
					return err
				}
			}
			return nil
		},
	}
	watcher.Run(ctx)
}

func (s *Slots) applyEntries(items []backing.KeyValue) error {
	for _, kv := range items {
		if err := s.applyEntry(kv); err != nil {
			return err
		}
	}
	return nil
}

// applyEntry applies a version of the table unless it is older than the known
// one.
func (s *Slots) applyEntry(kv backing.KeyValue) error {
	var table SlotTable
	if kv.Key != SlotTableKey || len(kv.Value) == 0 {
		return nil
	}
	if err := json.Unmarshal(kv.Value, &table); err != nil {
		return errors.Wrap(err, "decode slot table")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if kv.Revision > s.revision {
		s.table, s.revision = table, kv.Revision
	}
	return nil
}
