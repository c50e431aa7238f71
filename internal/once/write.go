package once

import (
	"bytes"
	"context"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
)

// errUnsettled means that a write may have taken effect or still may.
var errUnsettled = errors.New("a lost answer of the store could not be settled")

// write replaces the head that was last read. A lost answer is settled by
// reading back: while the head is unchanged the lost write may still take
// effect, so the same bytes are written again; once it has changed, it either
// holds the write or never will. The result is a revision, ErrConflict or
// ErrUnavailable, or errUnsettled. After ErrConflict the log must be read
// again: the batch may be in it.
func (s *shard) write(ctx context.Context, value []byte) (backing.Revision, error) {
	rev, err := s.swap(ctx, value)
	if err == nil || definite(err) {
		return rev, err
	}
	if s.broken.ignoreLost {
		return s.log.rev + 1, nil
	}
	for {
		kv, err := s.readBack(ctx)
		if err != nil {
			s.stats.Unsettled.Add(1)
			return 0, errUnsettled
		}
		if kv.Revision != s.log.rev {
			s.stats.ReadBacks.Add(1)
			return replaced(kv, value)
		}
		if rev, err := s.swap(ctx, value); err == nil {
			return rev, nil
		}
		if !backing.Pause(ctx, retryDelay) {
			s.stats.Unsettled.Add(1)
			return 0, errUnsettled
		}
	}
}

func (s *shard) swap(ctx context.Context, value []byte) (backing.Revision, error) {
	return s.log.store.CompareAndSwap(ctx, s.log.headKey(), s.log.rev, value, 0)
}

// replaced says whether the head that replaced the expected one is ours.
func replaced(kv backing.KeyValue, value []byte) (backing.Revision, error) {
	if bytes.Equal(kv.Value, value) {
		return kv.Revision, nil
	}
	return 0, backing.ErrConflict
}

// readBack reads the head until the store answers or ctx ends. A head that
// does not exist has revision zero.
func (s *shard) readBack(ctx context.Context) (backing.KeyValue, error) {
	for {
		kv, err := s.log.store.Get(ctx, s.log.headKey())
		if err == nil {
			return kv, nil
		}
		if errors.Is(err, backing.ErrNotFound) {
			return backing.KeyValue{}, nil
		}
		if !backing.Pause(ctx, retryDelay) {
			return backing.KeyValue{}, err
		}
	}
}

// definite reports whether a failed write certainly had no effect.
func definite(err error) bool {
	return errors.Is(err, backing.ErrConflict) || errors.Is(err, backing.ErrUnavailable)
}
