package once

import (
	"bytes"
	"context"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/platform"
)

// errUnsettled means that a write may have taken effect or still may.
var errUnsettled = errors.New("a lost answer of the store could not be settled")

// write replaces the head that was last read. A lost answer is settled by
// reading back: while the head is unchanged the lost write may still take
// effect, so the same bytes are written again; once it has changed, it either
// holds the write or never will. The result is a revision, ErrConflict or
// ErrUnavailable, or errUnsettled. After ErrConflict the log must be read
// again: the batch may be in it.
func (s *shard) write(ctx context.Context, value []byte) (platform.Revision, error) {
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
		if !platform.Pause(ctx, retryDelay) {
			s.stats.Unsettled.Add(1)
			return 0, errUnsettled
		}
	}
}

func (s *shard) swap(ctx context.Context, value []byte) (platform.Revision, error) {
	return s.log.store.CompareAndSwap(ctx, s.log.headKey(), s.log.rev, value, 0)
}

// replaced says whether the head that replaced the expected one is ours.
func replaced(kv platform.KeyValue, value []byte) (platform.Revision, error) {
	if bytes.Equal(kv.Value, value) {
		return kv.Revision, nil
	}
	return 0, platform.ErrConflict
}

// readBack reads the head until the store answers or ctx ends. A head that
// does not exist has revision zero.
func (s *shard) readBack(ctx context.Context) (platform.KeyValue, error) {
	for {
		kv, err := s.log.store.Get(ctx, s.log.headKey())
		if err == nil {
			return kv, nil
		}
		if errors.Is(err, platform.ErrNotFound) {
			return platform.KeyValue{}, nil
		}
		if !platform.Pause(ctx, retryDelay) {
			return platform.KeyValue{}, err
		}
	}
}

// definite reports whether a failed write certainly had no effect.
func definite(err error) bool {
	return errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnavailable)
}
