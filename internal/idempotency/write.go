package idempotency

import (
	"bytes"
	"context"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
)

// errOutcomeUnknown means that a write may have taken effect or may still do so.
var errOutcomeUnknown = errors.New("outcome of the store write is unknown")

// write replaces the head that was last read. If the store's answer is lost, write
// reads the head again. While the head is unchanged, the lost write may still take
// effect, so the same bytes are written again. Once the head has changed, either
// it is the written one or the write never takes effect.
//
// write returns the new revision, or ErrConflict, ErrUnavailable or
// errOutcomeUnknown. After ErrConflict the log must be read again, since the batch
// may be in it.
func (s *shard) write(ctx context.Context, value []byte) (backing.Revision, error) {
	rev, err := s.compareAndSwap(ctx, value)
	if err == nil || hadNoEffect(err) {
		return rev, err
	}
	if s.faults.assumeWritten {
		return s.log.rev + 1, nil
	}
	for {
		kv, err := s.readBack(ctx)
		if err != nil {
			s.stats.UnknownWrites.Add(1)
			return 0, errOutcomeUnknown
		}
		if kv.Revision != s.log.rev {
			s.stats.ReadBacks.Add(1)
			return matchWrite(kv, value)
		}
		if rev, err := s.compareAndSwap(ctx, value); err == nil {
			return rev, nil
		}
		if !backing.Pause(ctx, retryDelay) {
			s.stats.UnknownWrites.Add(1)
			return 0, errOutcomeUnknown
		}
	}
}

func (s *shard) compareAndSwap(ctx context.Context, value []byte) (backing.Revision, error) {
	return s.log.store.CompareAndSwap(ctx, s.log.headKey(), s.log.rev, value, 0)
}

// matchWrite returns the revision of a changed head if it has the written value,
// and ErrConflict otherwise.
func matchWrite(kv backing.KeyValue, value []byte) (backing.Revision, error) {
	if bytes.Equal(kv.Value, value) {
		return kv.Revision, nil
	}
	return 0, backing.ErrConflict
}

// readBack reads the head until the store answers or ctx is done. Revision zero
// means that there is no head yet.
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

// hadNoEffect reports whether a failed write certainly had no effect.
func hadNoEffect(err error) bool {
	return errors.Is(err, backing.ErrConflict) || errors.Is(err, backing.ErrUnavailable)
}
