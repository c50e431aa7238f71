package lease

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/platform"
)

// take creates the piece's key under this host's lease, unless it holds it.
func (s *Set) take(ctx context.Context, name string) {
	s.mu.Lock()
	p, closed := s.pieces[name], s.closed
	if p != nil && p.isLeaving {
		// It is this host's again before it was released.
		p.isLeaving = false
	}
	s.mu.Unlock()
	if p != nil || closed {
		return
	}
	id, ok := s.current(ctx)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.o.Settings.CallTimeout)
	defer cancel()
	mark := s.o.Marks.Next()
	value, _ := json.Marshal(holder{Host: s.o.Host, Incarnation: s.o.Incarnation, Mark: mark})
	s.stats.Calls.Add(1)
	revision, err := s.o.Store.CompareAndSwap(ctx, keyPrefix+name, 0, value, id)
	if err != nil {
		revision, ok = s.settle(ctx, name, id, err)
		if !ok {
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lease != id || s.closed {
		return
	}
	s.pieces[name] = &piece{name: name, revision: revision, lease: id}
	s.stats.Taken.Add(1)
	s.o.Log.Info("piece taken", "piece", name, "fence", int64(revision))
}

// settle finds out whether the key is this host's, under this very lease: a
// create whose answer was lost, now or before.
func (s *Set) settle(ctx context.Context, name string, id platform.LeaseID, cause error) (platform.Revision, bool) {
	if errors.Is(cause, platform.ErrUnavailable) {
		s.stats.Failures.Add(1)
		return 0, false
	}
	s.stats.Calls.Add(1)
	kv, err := s.o.Store.Get(ctx, keyPrefix+name)
	if err != nil {
		s.stats.Failures.Add(1)
		return 0, false
	}
	var h holder
	if json.Unmarshal(kv.Value, &h) != nil {
		return 0, false
	}
	mine := h.Host == s.o.Host && h.Incarnation == s.o.Incarnation && kv.Lease == id
	return kv.Revision, mine
}

// giveUp stops using a piece that another host should hold, and releases it
// once work under it must have ended.
func (s *Set) giveUp(ctx context.Context, name string) {
	s.mu.Lock()
	p := s.pieces[name]
	if p == nil {
		s.mu.Unlock()
		return
	}
	if !p.isLeaving {
		p.isLeaving = true
		p.leaving = time.Now()
	}
	due := time.Since(p.leaving) >= s.o.Settings.OrderDeadline
	s.mu.Unlock()
	if due {
		s.release(ctx, p)
	}
}

// release deletes the piece's key. A lost answer does no harm: the key goes
// with the lease, or is deleted at the next try.
func (s *Set) release(ctx context.Context, p *piece) {
	ctx, cancel := context.WithTimeout(ctx, s.o.Settings.CallTimeout)
	defer cancel()
	s.stats.Calls.Add(1)
	err := s.o.Store.Delete(ctx, keyPrefix+p.name, p.revision)
	if err != nil && !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrNotFound) {
		return
	}
	s.mu.Lock()
	delete(s.pieces, p.name)
	s.mu.Unlock()
	s.stats.Released.Add(1)
	s.o.Log.Info("piece released", "piece", p.name)
}

// Close gives up all pieces at once, for a planned stop. The caller has ended
// all work under them; Run must have returned.
func (s *Set) Close(ctx context.Context) error {
	s.mu.Lock()
	s.closed = true
	id := s.lease
	s.lease = 0
	clear(s.pieces)
	s.mu.Unlock()
	if id == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.o.Settings.CallTimeout)
	defer cancel()
	return errors.Wrap(s.o.Store.Revoke(ctx, id), "revoke lease")
}
