package lease

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/record"
)

// Options configure a Set.
type Options struct {
	Host, Incarnation string
	Store             backing.Store
	Clock             Clock
	Settings          Settings
	// Pieces returns the pieces that there are.
	Pieces func() []string
	// Preferred returns the host that should hold a piece, as far as this
	// host knows; false keeps things as they are.
	Preferred func(piece string) (host string, ok bool)
	Marks     *record.Marks
	Log       *slog.Logger
}

// Set holds a host's pieces. Held and Preferred are safe for concurrent use;
// one goroutine calls Run or Step.
type Set struct {
	o     Options
	flaws flaws
	stats Stats

	mu sync.Mutex
	// The fields below are guarded by mu.
	lease backing.LeaseID
	// granted is a moment before the store last granted or renewed the lease.
	granted Instant
	ttl     time.Duration
	pieces  map[string]*piece
	// unsure are creates that may still take effect under the present lease,
	// and when they were sent.
	unsure map[string]time.Time
	closed bool
}

// flaws break a set on purpose, for tests that must notice.
type flaws struct {
	// countsFromAnswer counts the lease from the arrival of the renewal.
	countsFromAnswer bool
	// noMargin uses the lease beyond its end.
	noMargin bool
	// takesBack uses a piece again whose key may be deleted.
	takesBack bool
}

// New returns a set that holds nothing.
func New(o Options) *Set {
	if o.Clock == nil {
		o.Clock = SystemClock{}
	}
	return &Set{o: o, pieces: make(map[string]*piece), unsure: make(map[string]time.Time)}
}

// Stats returns the counters.
func (s *Set) Stats() *Stats { return &s.stats }

// Held returns the fencing number of a piece that this host holds at this
// moment, and the moment by which everything done under it must have ended:
// at most OrderDeadline from now, and before the lease can end.
func (s *Set) Held(name string) (fence int64, deadline time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pieces[name]
	now := s.o.Clock.Now()
	left := s.left(now)
	if p == nil || p.isLeaving || s.closed || p.lease != s.lease || left <= 0 {
		return 0, time.Time{}, false
	}
	return int64(p.revision), now.Monotonic.Add(min(left, s.o.Settings.OrderDeadline)), true
}

// left is how long the lease may still be used. The caller holds mu.
func (s *Set) left(now Instant) time.Duration {
	if s.lease == 0 {
		return 0
	}
	left := s.ttl - s.o.Settings.Margin - now.Since(s.granted)
	if s.flaws.noMargin {
		left = s.ttl + s.o.Settings.Margin - now.Since(s.granted)
	}
	return left
}

// Preferred returns the host that should hold the piece. It is the holder
// unless the piece is changing hands.
func (s *Set) Preferred(name string) (string, bool) { return s.o.Preferred(name) }

// Pieces returns the pieces that this host holds, for dumps.
func (s *Set) Pieces() map[string]int64 {
	s.mu.Lock()
	names := make([]string, 0, len(s.pieces))
	for name := range s.pieces {
		names = append(names, name)
	}
	s.mu.Unlock()
	held := make(map[string]int64, len(names))
	for _, name := range names {
		if fence, _, ok := s.Held(name); ok {
			held[name] = fence
		}
	}
	return held
}

// stepInterval is how often a set looks at what it should hold.
const stepInterval = time.Second

// Run holds what this host should hold until ctx ends. The caller then calls
// Close.
func (s *Set) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		s.Step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Step renews the lease when it is due, takes pieces that this host should
// hold and gives up those that another should.
func (s *Set) Step(ctx context.Context) {
	s.renew(ctx)
	for _, name := range s.o.Pieces() {
		host, ok := s.o.Preferred(name)
		if !ok {
			continue
		}
		// A slow store must not keep the lease from its renewal.
		s.renew(ctx)
		if host == s.o.Host {
			s.take(ctx, name)
		} else {
			s.giveUp(ctx, name)
		}
	}
	s.dropUnknown(ctx)
}

// dropUnknown gives up pieces that there are no more.
func (s *Set) dropUnknown(ctx context.Context) {
	wanted := make(map[string]bool)
	for _, name := range s.o.Pieces() {
		wanted[name] = true
	}
	s.mu.Lock()
	var unwanted []string
	for name := range s.pieces {
		if !wanted[name] {
			unwanted = append(unwanted, name)
		}
	}
	for name := range s.unsure {
		if !wanted[name] && s.pieces[name] == nil {
			unwanted = append(unwanted, name)
		}
	}
	s.mu.Unlock()
	for _, name := range unwanted {
		s.giveUp(ctx, name)
	}
}
