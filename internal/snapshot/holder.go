package snapshot

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/verdict"
)

// FreshFor is how long a host may use its configuration after the moment at
// which it is known to have been the accepted one.
const FreshFor = 2800 * time.Millisecond

// PeerCaller sends a message to another entry host, by its name, and returns
// the answer.
type PeerCaller interface {
	Exchange(ctx context.Context, peer string, m *wire.PeerMessage) (*wire.PeerMessage, error)
}

// Peer is one live entry host.
type Peer struct {
	Name   string
	Domain string
	// Leaving is true for a host that is about to go: it may be asked, but is
	// neither reader nor voter.
	Leaving bool
}

// HolderOptions configure a Holder.
type HolderOptions struct {
	// Host and Domain are this host's own.
	Host   string
	Domain string
	Log    *Log
	Peers  PeerCaller
	// Directory returns the live entry hosts; this host may be among them.
	Directory func() []Peer
	Clock     Clock
	Logger    *slog.Logger
	// CutStreams ends running streams of a key that is no longer valid; when
	// false they run to their end.
	CutStreams bool
}

// Holder gives a host its current configuration and says whether it may still
// be used. The view never goes back to a lower revision.
type Holder struct {
	o       HolderOptions
	started instant
	current atomic.Pointer[View]
	// confirmed is the latest moment at which the current view, or an earlier
	// one, is known to have held every accepted change; nil for never.
	confirmed atomic.Pointer[instant]
	// qualified is true when the host's word counts in a majority.
	qualified atomic.Bool
	// storeFailed is true when the last call of the store failed. Run alone
	// writes it.
	storeFailed atomic.Bool
	cursor      Cursor
	cursorMu    sync.Mutex
	// upstream is the peer that confirmed last, and asks counts the rounds
	// with peers. Run alone uses them.
	upstream string
	asks     int
	// lastVouched are the voters that vouched in the last round without the
	// store, and panels counts such rounds. Run alone uses them.
	lastVouched map[string]bool
	panels      int
	wake        chan struct{}
	counts      confirmations
	flaws       flaws

	// mu guards the fields below and orders installs.
	mu      sync.Mutex
	recent  recent
	changed chan struct{}
	tracker tracker

	pages pageCache
}

// flaws break the holder on purpose, for tests that must notice.
type flaws struct {
	// ageFromAnswer counts an age from when the answer arrived.
	ageFromAnswer bool
	// vouchAtOnce lets a host vouch before it has learnt what it may have
	// acknowledged before its start.
	vouchAtOnce bool
	// acceptAtCommit answers a change as accepted without a majority.
	acceptAtCommit bool
	// replaceAtOnce replaces the voters without a list that holds both.
	replaceAtOnce bool
}

// NewHolder returns a holder with the empty view, which is not fresh.
func NewHolder(o HolderOptions) *Holder {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	h := &Holder{o: o, wake: make(chan struct{}, 1), changed: make(chan struct{})}
	h.started = o.Clock.now()
	h.current.Store(Empty())
	return h
}

// Current returns the host's view. It never returns a lower revision than
// before.
func (h *Holder) Current() *View { return h.current.Load() }

// Fresh says whether the current view holds every change that was accepted
// FreshFor before now. A caller that uses both takes Use.
func (h *Holder) Fresh(now time.Time) bool {
	c := h.confirmed.Load()
	if c == nil {
		return false
	}
	at := h.o.Clock.now()
	at.at = now
	return c.age(at) < FreshFor
}

// Use returns the view for one request of a keyed route, or an error with the
// verdict not-run while the view is not fresh.
func (h *Holder) Use() (*View, error) {
	// The order matters: a pause between the steps can only make the age
	// larger or the view newer than what is compared.
	c := h.confirmed.Load()
	v := h.current.Load()
	if c == nil || c.age(h.o.Clock.now()) >= FreshFor {
		return nil, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "configuration_not_confirmed",
			"this host cannot confirm that its configuration is current").After(time.Second)
	}
	return v, nil
}

// StreamAllowed says whether a running stream of the key may go on. Without
// CutStreams a stream that began with a valid key runs to its end.
func (h *Holder) StreamAllowed(sha256hex string) bool {
	if !h.o.CutStreams {
		return true
	}
	v, err := h.Use()
	if err != nil {
		return false
	}
	_, ok := v.KeyOwner(sha256hex)
	return ok
}

// Age returns how long ago the view was known to be current, and false when
// it never was.
func (h *Holder) Age() (time.Duration, bool) {
	c := h.confirmed.Load()
	if c == nil {
		return 0, false
	}
	return c.age(h.o.Clock.now()), true
}

// Changed returns a channel that is closed at the next change of the view.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// ChangesAfter returns the changes later than the revision, and false when
// the host no longer holds them all.
func (h *Holder) ChangesAfter(revision resource.Revision) ([]Change, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	list, ok := h.recent.after(revision)
	if !ok {
		return nil, false
	}
	changes := make([]Change, len(list))
	for i, e := range list {
		changes[i] = e.change
	}
	return changes, true
}

// install makes the step's view current if it is later than the one held.
func (h *Holder) install(s Step) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.View.revision <= h.current.Load().revision {
		return
	}
	if err := h.recent.add(s); err != nil {
		h.o.Logger.Error("change not kept for peers", "error", err.Error())
		h.recent.clear()
		h.recent.last = s.View.revision
	}
	h.current.Store(s.View)
	close(h.changed)
	h.changed = make(chan struct{})
}

// confirm notes that every change accepted before asOf has at most the
// revision. It does nothing when the host does not hold that revision.
func (h *Holder) confirm(asOf instant, revision resource.Revision) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current.Load().revision < revision {
		return false
	}
	old := h.confirmed.Load()
	if old == nil || asOf.age(*old) < 0 {
		h.confirmed.Store(&asOf)
	}
	return true
}

// nudge makes Run start its next round at once.
func (h *Holder) nudge() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}
