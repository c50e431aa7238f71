package lease

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
)

// take creates the piece's key under this host's lease, unless it holds it.
func (s *Set) take(ctx context.Context, name string) {
	s.mu.Lock()
	p, closed := s.pieces[name], s.closed
	if p != nil && p.isLeaving && !p.deleting {
		// It is this host's again before it was released.
		p.isLeaving = false
	}
	s.mu.Unlock()
	if p != nil && p.deleting {
		s.release(ctx, p)
		return
	}
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
		if !definite(err) {
			s.noteUnsure(name)
		}
		if revision, ok = s.settle(ctx, name, id, err); !ok {
			return
		}
	}
	s.hold(name, revision, id)
}

// hold notes a piece whose key is this host's.
func (s *Set) hold(name string, revision backing.Revision, id backing.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lease != id || s.closed {
		return
	}
	s.pieces[name] = &piece{name: name, revision: revision, lease: id}
	s.stats.Taken.Add(1)
	s.o.Log.Info("piece taken", "piece", name, "fence", int64(revision))
}

// definite reports whether a failed write certainly had no effect and never will.
func definite(err error) bool {
	return errors.Is(err, backing.ErrConflict) || errors.Is(err, backing.ErrUnavailable) || errors.Is(err, backing.ErrLeaseExpired)
}

// noteUnsure notes that a create may still be on its way.
func (s *Set) noteUnsure(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unsure[name] = time.Now()
}

// sure notes that no create of the name is under way any more.
func (s *Set) sure(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.unsure, name)
}

// settle finds out whether the key is this host's, under this very lease: a
// create whose answer was lost, now or before.
func (s *Set) settle(ctx context.Context, name string, id backing.LeaseID, cause error) (backing.Revision, bool) {
	if errors.Is(cause, backing.ErrUnavailable) {
		s.stats.Failures.Add(1)
		return 0, false
	}
	revision, mine, err := s.look(ctx, name, id)
	return revision, mine && err == nil
}

// look reads the piece's key and says whether it is this host's under the lease.
func (s *Set) look(ctx context.Context, name string, id backing.LeaseID) (backing.Revision, bool, error) {
	s.stats.Calls.Add(1)
	kv, err := s.o.Store.Get(ctx, keyPrefix+name)
	if errors.Is(err, backing.ErrNotFound) {
		return 0, false, nil
	}
	if err != nil {
		s.stats.Failures.Add(1)
		return 0, false, err
	}
	var h holder
	if err := json.Unmarshal(kv.Value, &h); err != nil {
		return 0, false, errors.Wrap(err, "decode a piece")
	}
	mine := h.Host == s.o.Host && h.Incarnation == s.o.Incarnation && kv.Lease == id
	return kv.Revision, mine, nil
}

// giveUp stops using a piece that another host should hold, and releases it
// once work under it must have ended.
func (s *Set) giveUp(ctx context.Context, name string) {
	s.mu.Lock()
	p := s.pieces[name]
	if p == nil {
		_, unsure := s.unsure[name]
		s.mu.Unlock()
		if unsure {
			s.findLate(ctx, name)
		}
		return
	}
	if !p.isLeaving {
		p.isLeaving = true
		p.leaving = time.Now()
	}
	due := time.Since(p.leaving) >= s.o.Settings.OrderDeadline
	p.deleting = p.deleting || due && !s.flaws.takesBack
	s.mu.Unlock()
	if due {
		s.release(ctx, p)
	}
}

// findLate looks for the key of a create that was given up, for as long as the
// create may be on its way. Nobody else could take the piece while the key is
// there under this host's lease.
func (s *Set) findLate(ctx context.Context, name string) {
	s.mu.Lock()
	id, sent := s.lease, s.unsure[name]
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, s.o.Settings.CallTimeout)
	defer cancel()
	old := time.Since(sent) > s.o.Settings.TTL
	revision, mine, err := s.look(ctx, name, id)
	switch {
	case err != nil:
	case mine:
		s.hold(name, revision, id)
	case old:
		s.sure(name)
	}
}

// release deletes the piece's key. A lost answer does no harm: the key goes
// with the lease, or is deleted at the next try.
func (s *Set) release(ctx context.Context, p *piece) {
	ctx, cancel := context.WithTimeout(ctx, s.o.Settings.CallTimeout)
	defer cancel()
	s.stats.Calls.Add(1)
	err := s.o.Store.Delete(ctx, keyPrefix+p.name, p.revision)
	if err != nil && !errors.Is(err, backing.ErrConflict) && !errors.Is(err, backing.ErrNotFound) {
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
