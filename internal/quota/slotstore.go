package quota

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
)

// write swaps the table in the store and reads it back.
func (s *Slots) write(ctx context.Context, t SlotTable, expect backing.Revision) error {
	value, err := json.Marshal(t)
	if err != nil {
		return errors.Wrap(err, "encode slot table")
	}
	writeCtx, cancel := context.WithTimeout(ctx, slotTimeout)
	defer cancel()
	if _, err := s.config.Store.CompareAndSwap(writeCtx, SlotKey, expect, value, 0); err != nil {
		return errors.Wrap(err, "write slot table")
	}
	return s.read(ctx)
}

// read takes the table from the store.
func (s *Slots) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, slotTimeout)
	defer cancel()
	kv, err := s.config.Store.Get(ctx, SlotKey)
	if err != nil && !errors.Is(err, backing.ErrNotFound) {
		return errors.Wrap(err, "read slot table")
	}
	s.setStale(false)
	return s.adopt(kv)
}

// follow adopts the versions of the table that the store's watch reports, at
// most one each watchRetry, so that many changes at once do not wake all hosts
// for each.
func (s *Slots) follow(ctx context.Context) {
	f := backing.Follower{
		Store: s.config.Store, Prefix: SlotKey,
		Wait: slotWatch, Timeout: slotTimeout, Retry: watchRetry, Spacing: watchRetry,
		Replace: s.adoptAll,
		Apply: func(events []backing.Event) error {
			for _, e := range events {
				if err := s.adopt(e.KeyValue); err != nil {
					return err
				}
			}
			return nil
		},
	}
	f.Run(ctx)
}

func (s *Slots) adoptAll(items []backing.KeyValue) error {
	for _, kv := range items {
		if err := s.adopt(kv); err != nil {
			return err
		}
	}
	return nil
}

// adopt takes a version of the table unless it is older than the one known.
func (s *Slots) adopt(kv backing.KeyValue) error {
	var t SlotTable
	if kv.Key != SlotKey || len(kv.Value) == 0 {
		return nil
	}
	if err := json.Unmarshal(kv.Value, &t); err != nil {
		return errors.Wrap(err, "decode slot table")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if kv.Revision > s.revision {
		s.table, s.revision = t, kv.Revision
	}
	return nil
}
