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

// FreshFor is the maximum age of a host's last confirmation: at this age, the
// host may no longer use its configuration.
const FreshFor = 2800 * time.Millisecond

// PeerClient sends a message to another entry host, identified by its name, and
// returns the answer.
type PeerClient interface {
	Exchange(ctx context.Context, peer string, m *wire.PeerMessage) (*wire.PeerMessage, error)
}

// Peer is one live entry host.
type Peer struct {
	Name   string
	Domain string
	// Leaving reports whether the host is shutting down: it still answers
	// exchanges, but is not selected as a store reader or a voter.
	Leaving bool
}

// ReplicaOptions configures a Replica.
type ReplicaOptions struct {
	// Host is the name of this host.
	Host string
	// Domain is the failure domain of this host.
	Domain string
	Log    *Log
	Peers  PeerClient
	// Directory returns the live entry hosts; this host may be among them.
	Directory func() []Peer
	Clock     Clock
	Logger    *slog.Logger
	// EndRevokedStreams ends running streams of a key that is no longer valid. If
	// false, they run to completion.
	EndRevokedStreams bool
}

// Replica keeps a host's view of the configuration current and reports whether
// it is fresh enough to be used. The revision of the view never decreases. Its
// methods are safe for concurrent use; Run is called once.
type Replica struct {
	options ReplicaOptions
	started instant
	current atomic.Pointer[View]
	// confirmed is the latest moment as of which the current view, or an
	// earlier one, is known to have contained every accepted change; nil if
	// there is none.
	confirmed atomic.Pointer[instant]
	// qualified reports whether the host's confirmation counts in a majority.
	qualified atomic.Bool
	// storeFailed reports whether the last store call failed. Only Run writes
	// it.
	storeFailed atomic.Bool
	cursor      Cursor
	cursorMu    sync.Mutex
	// lastUpstream is the peer that confirmed last. Only Run uses it.
	lastUpstream string
	// peerRounds counts the rounds that asked peers. Only Run uses it.
	peerRounds int
	// lastConfirming are the voters that confirmed in the last round without
	// the store. Only Run uses it.
	lastConfirming map[string]bool
	// majorityRounds counts the rounds without the store. Only Run uses it.
	majorityRounds int
	// wake makes Run start a round before the next tick.
	wake   chan struct{}
	counts confirmations
	faults injectedFaults

	// mu guards recent, changed and tracker, and serializes installs.
	mu      sync.Mutex
	recent  changeBuffer
	changed chan struct{}
	tracker acceptanceTracker

	pages pageCache
}

// injectedFaults disables safety mechanisms of a replica, for tests that verify
// that the violations are detected.
type injectedFaults struct {
	// ageFromArrival measures the age of a confirmation from the arrival of
	// the answer instead of from before the request.
	ageFromArrival bool
	// skipQualification lets a host confirm in a majority before it has learned
	// the changes that an earlier incarnation may have acknowledged.
	skipQualification bool
	// acceptWithoutMajority reports a change as accepted without a majority.
	acceptWithoutMajority bool
	// skipJointVoters replaces the voters without a joint list of the old and
	// the new ones.
	skipJointVoters bool
}

// NewReplica returns a replica with the empty view, which is not fresh. A nil
// Logger discards log output.
func NewReplica(options ReplicaOptions) *Replica {
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	r := &Replica{options: options, wake: make(chan struct{}, 1), changed: make(chan struct{})}
	r.started = options.Clock.now()
	r.current.Store(Empty())
	return r
}

// Current returns the host's view, fresh or not. Its revision never decreases.
func (r *Replica) Current() *View { return r.current.Load() }

// Fresh reports whether the current view contains every change that was accepted
// up to FreshFor before now. A caller that needs both the view and its freshness
// calls FreshView.
func (r *Replica) Fresh(now time.Time) bool {
	c := r.confirmed.Load()
	if c == nil {
		return false
	}
	at := r.options.Clock.now()
	at.at = now
	return c.age(at) < FreshFor
}

// FreshView returns the view for one request of a keyed route. It returns an
// error with the verdict not-run while the view is not fresh.
func (r *Replica) FreshView() (*View, error) {
	// The confirmation is loaded before the view and the clock is read last: a
	// pause in between can only yield a larger age or a newer view.
	c := r.confirmed.Load()
	v := r.current.Load()
	if c == nil || c.age(r.options.Clock.now()) >= FreshFor {
		return nil, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "configuration_not_confirmed",
			"this host cannot confirm that its configuration is current").After(time.Second)
	}
	return v, nil
}

// StreamAllowed reports whether a running stream may continue. sha256hex is the
// hash of its key. Without EndRevokedStreams, a stream that started with a valid
// key runs to completion.
func (r *Replica) StreamAllowed(sha256hex string) bool {
	if !r.options.EndRevokedStreams {
		return true
	}
	v, err := r.FreshView()
	if err != nil {
		return false
	}
	_, ok := v.KeyOwner(sha256hex)
	return ok
}

// ConfirmationAge returns the time since the view was last known to be current,
// and false if it never was.
func (r *Replica) ConfirmationAge() (time.Duration, bool) {
	c := r.confirmed.Load()
	if c == nil {
		return 0, false
	}
	return c.age(r.options.Clock.now()), true
}

// Changed returns a channel that is closed at the next change of the view.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// ChangesAfter returns the changes after the revision, and false if the host has
// not buffered all of them.
func (r *Replica) ChangesAfter(revision resource.Revision) ([]Change, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	encoded, ok := r.recent.after(revision)
	if !ok {
		return nil, false
	}
	changes := make([]Change, len(encoded))
	for i, e := range encoded {
		changes[i] = e.change
	}
	return changes, true
}

// install makes the step's view current if it is later than the current one.
func (r *Replica) install(s Step) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.View.revision <= r.current.Load().revision {
		return
	}
	if err := r.recent.add(s); err != nil {
		r.options.Logger.Error("buffering changes for peers failed", "error", err.Error())
		r.recent.clear()
		r.recent.last = s.View.revision
	}
	r.current.Store(s.View)
	r.tracker.installs.record(milestone{revision: s.View.revision, at: r.options.Clock.now()})
	close(r.changed)
	r.changed = make(chan struct{})
}

// confirm records that every change accepted before asOf has at most the given
// revision. It returns false, and records nothing, if the host's view is older
// than that revision.
func (r *Replica) confirm(asOf instant, revision resource.Revision) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current.Load().revision < revision {
		return false
	}
	old := r.confirmed.Load()
	if old == nil || asOf.age(*old) < 0 {
		r.confirmed.Store(&asOf)
	}
	return true
}

// triggerRound makes Run start its next round at once. It does not block.
func (r *Replica) triggerRound() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}
