package lease

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
)

// acquire creates the key of the shard under this host's lease unless this host
// already holds the shard.
func (s *Set) acquire(ctx context.Context, name string) {
	s.mu.Lock()
	item, closed := s.shards[name], s.closed
	if item != nil && item.isReleasing && !item.isDeleting {
		// This host became the preferred one again before it deleted the key.
		item.isReleasing = false
	}
	s.mu.Unlock()
	if item != nil && item.isDeleting {
		s.release(ctx, item)
		return
	}
	if item != nil || closed {
		return
	}
	id, ok := s.usableLease(ctx)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.Settings.CallTimeout)
	defer cancel()
	writeToken := s.opts.WriteTokens.Next()
	value, _ := json.Marshal(holderValue{Host: s.opts.Host, Incarnation: s.opts.Incarnation, WriteToken: writeToken})
	s.stats.Calls.Add(1)
	revision, err := s.opts.Store.CompareAndSwap(ctx, keyPrefix+name, 0, value, id)
	if err != nil {
		if !hadNoEffect(err) {
			s.addPendingCreate(name)
		}
		if revision, ok = s.resolveCreate(ctx, name, id, value, err); !ok {
			return
		}
	}
	s.addShard(name, revision, id)
}

// addShard adds a shard whose key belongs to this host.
func (s *Set) addShard(name string, revision backing.Revision, id backing.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lease != id || s.closed {
		return
	}
	s.shards[name] = &shard{name: name, revision: revision, lease: id}
	s.stats.Acquired.Add(1)
	s.opts.Log.Info("piece taken", "piece", name, "fence", int64(revision))
}

// hadNoEffect reports whether a failed write had no effect and will never have
// one.
func hadNoEffect(err error) bool {
	return errors.Is(err, backing.ErrConflict) || errors.Is(err, backing.ErrUnavailable) || errors.Is(err, backing.ErrLeaseExpired)
}

// addPendingCreate records that a create may still take effect.
func (s *Set) addPendingCreate(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingCreates[name] = time.Now()
}

// removePendingCreate records that no create of the name can take effect any more.
func (s *Set) removePendingCreate(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pendingCreates, name)
}

// resolveCreate determines after a failed create whether the key belongs to this
// host under this lease, because the response to this or an earlier create was
// lost. It moves a key that this host wrote under an earlier lease to this one: the store
// was restored, and no other host can hold the shard while the key exists.
func (s *Set) resolveCreate(ctx context.Context, name string, id backing.LeaseID, value []byte, cause error) (backing.Revision, bool) {
	if !errors.Is(cause, backing.ErrConflict) {
		s.stats.Failures.Add(1)
	}
	if errors.Is(cause, backing.ErrUnavailable) {
		return 0, false
	}
	kv, own, err := s.readKey(ctx, name)
	if err != nil || !own {
		return 0, false
	}
	if kv.Lease == id {
		return kv.Revision, true
	}
	s.stats.Calls.Add(1)
	revision, err := s.opts.Store.CompareAndSwap(ctx, keyPrefix+name, kv.Revision, value, id)
	if err != nil {
		s.stats.Failures.Add(1)
		return 0, false
	}
	return revision, true
}

// readKey reads the key of the shard and reports whether this process wrote it.
func (s *Set) readKey(ctx context.Context, name string) (kv backing.KeyValue, own bool, err error) {
	s.stats.Calls.Add(1)
	kv, err = s.opts.Store.Get(ctx, keyPrefix+name)
	if errors.Is(err, backing.ErrNotFound) {
		return kv, false, nil
	}
	if err != nil {
		s.stats.Failures.Add(1)
		return kv, false, err
	}
	var h holderValue
	if err := json.Unmarshal(kv.Value, &h); err != nil {
		return kv, false, errors.Wrap(err, "decode shard")
	}
	return kv, h.Host == s.opts.Host && h.Incarnation == s.opts.Incarnation, nil
}

// relinquish stops using a shard that another host should hold, and releases it
// once the deadline of all work under it has passed.
func (s *Set) relinquish(ctx context.Context, name string) {
	s.mu.Lock()
	item := s.shards[name]
	if item == nil {
		_, pending := s.pendingCreates[name]
		s.mu.Unlock()
		if pending {
			s.adoptLateCreate(ctx, name)
		}
		return
	}
	if !item.isReleasing {
		item.isReleasing = true
		item.stoppedAt = time.Now()
	}
	due := time.Since(item.stoppedAt) >= s.opts.Settings.WorkDeadline
	item.isDeleting = item.isDeleting || due && !s.faults.reusesReleased
	s.mu.Unlock()
	if due {
		s.release(ctx, item)
	}
}

// adoptLateCreate adds the shard if a create with an unknown outcome took effect
// late, so that it can be released: no other host can acquire the shard while the
// key exists under this host's lease. Creates are checked for as long as they may
// still take effect.
func (s *Set) adoptLateCreate(ctx context.Context, name string) {
	s.mu.Lock()
	id, sent := s.lease, s.pendingCreates[name]
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, s.opts.Settings.CallTimeout)
	defer cancel()
	expired := time.Since(sent) > s.opts.Settings.TTL
	kv, own, err := s.readKey(ctx, name)
	switch {
	case err != nil:
	case own && kv.Lease == id:
		s.addShard(name, kv.Revision, id)
	case expired:
		s.removePendingCreate(name)
	}
}

// release deletes the key of the shard. If the response is lost, the deletion is
// retried, or the key expires with the lease.
func (s *Set) release(ctx context.Context, item *shard) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.Settings.CallTimeout)
	defer cancel()
	s.stats.Calls.Add(1)
	err := s.opts.Store.Delete(ctx, keyPrefix+item.name, item.revision)
	if err != nil && !errors.Is(err, backing.ErrConflict) && !errors.Is(err, backing.ErrNotFound) {
		s.stats.Failures.Add(1)
		return
	}
	s.mu.Lock()
	delete(s.shards, item.name)
	s.mu.Unlock()
	s.stats.Released.Add(1)
	s.opts.Log.Info("piece released", "piece", item.name)
}

// Close releases all shards at once for a planned shutdown by revoking the lease.
// The caller must have ended all work under them, and Run must have returned.
func (s *Set) Close(ctx context.Context) error {
	s.mu.Lock()
	s.closed = true
	id := s.lease
	s.lease = 0
	clear(s.shards)
	s.mu.Unlock()
	if id == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.Settings.CallTimeout)
	defer cancel()
	s.stats.Calls.Add(1)
	if err := s.opts.Store.Revoke(ctx, id); err != nil {
		s.stats.Failures.Add(1)
		return errors.Wrap(err, "revoke lease")
	}
	return nil
}
