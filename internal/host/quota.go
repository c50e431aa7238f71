package host

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/catalog"
	"github.com/acacialink/acacialink/internal/limit"
	"github.com/acacialink/acacialink/internal/peer"
)

// quota enforces the rates of workspaces for this host. Delegates grant tokens from
// their limiter; a member asks a delegate. A host that has been cut off from all
// delegates consumes its own share, which they set aside. It is safe for concurrent use.
type quota struct {
	window     time.Duration
	firstStart bool
	startedAt  time.Time
	group      *peer.Group
	limiter    *limit.Limiter
	reserver   *peer.Reserver
	log        *slog.Logger
	// completeAt is the time in Unix nanoseconds from which the limiter knows the
	// usage of a whole window; 0 if this host is a member.
	completeAt atomic.Int64
}

const (
	// grantCheckInterval is the time between checks of this host's role.
	grantCheckInterval = 100 * time.Millisecond
	// startSettlingTime and firstStartSettlingTime are the times after the start of
	// the process within which it becomes a delegate without having missed usage: its
	// limiter assumes the worst of the time before its start, and callers come only
	// later when the whole deployment starts.
	startSettlingTime      = time.Second
	firstStartSettlingTime = 8 * time.Second
	// noDelegateRetryAfter is the delay after which a request may return that no
	// delegate answered for. By then another one is asked, or the host is cut off.
	noDelegateRetryAfter = 200 * time.Millisecond
)

func newQuota(startedAt time.Time, s Settings, group *peer.Group, limiter *limit.Limiter, log *slog.Logger) *quota {
	q := &quota{window: s.QuotaWindow, firstStart: s.FirstStart, startedAt: startedAt, group: group, limiter: limiter, log: log}
	q.reserver = peer.NewReserver(s.Name, q.delegates)
	q.completeAt.Store(startedAt.UnixNano())
	return q
}

// delegates returns the other delegates in the order in which to ask them.
func (q *quota) delegates() []peer.Entry {
	topology := q.group.Topology()
	entries := make([]peer.Entry, 0, len(topology.Homes))
	for _, name := range topology.Homes {
		entries = append(entries, topology.Delegates[name])
	}
	return entries
}

// run tracks this host's role until ctx is done.
func (q *quota) run(ctx context.Context) {
	for backing.Pause(ctx, grantCheckInterval) {
		q.trackRole(time.Now(), q.group.Topology().Delegate)
	}
}

// trackRole resets the limiter of a host that becomes a delegate: it has not received
// the usage of the others.
func (q *quota) trackRole(now time.Time, delegate bool) {
	switch {
	case !delegate:
		q.completeAt.Store(0)
	case q.completeAt.Load() == 0:
		settling := startSettlingTime
		if q.firstStart {
			settling = firstStartSettlingTime
		}
		if now.Sub(q.startedAt) < settling {
			q.completeAt.Store(q.startedAt.UnixNano())
			return
		}
		q.limiter.Reset(now)
		q.completeAt.Store(now.Add(q.window).UnixNano())
		q.log.Info("granting tokens after a window", "window_ms", q.window)
	}
}

// complete reports whether this host grants tokens by its own limiter.
func (q *quota) complete(now time.Time) bool {
	at := q.completeAt.Load()
	return at != 0 && now.UnixNano() >= at
}

// Reserve implements gateway.Quota.
func (q *quota) Reserve(now time.Time, w *catalog.Workspace, tokens int64) (time.Duration, bool) {
	if w.Rate <= 0 {
		return 0, true
	}
	if q.complete(now) {
		return q.limiter.Reserve(now, w, tokens)
	}
	grant, err := q.reserver.Reserve(w.Name, tokens)
	switch {
	case err == nil:
		return time.Duration(grant.RetryMillis) * time.Millisecond, grant.OK
	case q.group.CutOff() || q.completeAt.Load() != 0:
		return q.limiter.Reserve(time.Now(), w, tokens)
	default:
		return noDelegateRetryAfter, false
	}
}

// Refund implements gateway.Quota.
func (q *quota) Refund(now, reservedAt time.Time, workspace string, tokens int64) {
	if q.complete(now) {
		q.limiter.Refund(now, reservedAt, workspace, tokens)
		return
	}
	if !q.group.CutOff() {
		q.reserver.Refund(workspace, tokens, now.Sub(reservedAt))
	}
}

// limiterPeers adapts the group to the limiter.
type limiterPeers struct{ group *peer.Group }

// State implements limit.Peers.
func (p limiterPeers) State() limit.PeerState {
	s := p.group.State()
	state := limit.PeerState{Unreachable: s.Unreachable, Hosts: s.Hosts, Granters: s.Delegates}
	if s.Delegate {
		state.Reachable = s.Reachable
	}
	return state
}

// TriggerExchange implements limit.Peers.
func (p limiterPeers) TriggerExchange() { p.group.TriggerExchange() }

// grant answers the reservations of another host.
func (h *Host) grant(in *peer.ReserveRequest) *peer.ReserveResponse {
	now := time.Now()
	config := h.catalog.Current()
	if config == nil || !h.quota.complete(now) || h.termination.Stopping() {
		return &peer.ReserveResponse{NotReady: true}
	}
	out := &peer.ReserveResponse{Grants: make([]peer.Grant, len(in.Reservations))}
	for i, r := range in.Reservations {
		if r.RefundAgeMillis >= 0 {
			h.limiter.Refund(now, now.Add(-time.Duration(r.RefundAgeMillis)*time.Millisecond), r.Workspace, max(0, r.Tokens))
			continue
		}
		w := config.Workspaces()[r.Workspace]
		if w == nil {
			return &peer.ReserveResponse{NotReady: true} // this host has another configuration
		}
		retry, ok := h.limiter.Reserve(now, w, max(0, r.Tokens))
		out.Grants[i] = peer.Grant{OK: ok, RetryMillis: (retry + time.Millisecond - 1).Milliseconds()}
	}
	return out
}
