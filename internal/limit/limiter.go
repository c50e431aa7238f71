// Package limit enforces each workspace's token rate across all hosts. The hosts
// that grant tokens count the usage of all hosts in a sliding window and admit
// requests that still fit. They report what they granted to each other. What one
// grants before its peers have received the report is bounded by its share of a
// reserve and of the tokens that are left, and for each host that is out of touch a
// share of the limit is set aside. The package does no I/O.
package limit

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/catalog"
)

// Settings configures a Limiter.
type Settings struct {
	// Window is the length of the sliding window in which a workspace may
	// consume its rate and its burst.
	Window time.Duration
	// Overage is the fraction of rate and burst by which all hosts together may
	// exceed them. Slack is the number of tokens by which they may exceed them
	// in addition. Both cover usage that hosts have not yet reported to each
	// other.
	Overage, Slack float64
	// FirstStart is true if nothing was consumed before the process started,
	// because the deployment starts for the first time. Otherwise earlier
	// processes may have just consumed the whole limit.
	FirstStart bool
	// Rand returns a random number in [0, 1); nil selects the default source.
	Rand func() float64
}

const (
	// reserveFraction is the fraction of the allowed overage and slack that is
	// reserved for usage not yet reported between hosts.
	reserveFraction = 0.5
	// minReserveFraction is the minimum reserve as a fraction of the window's
	// tokens; it applies if little or no overage is allowed.
	minReserveFraction = 0.1
	// headroomReserveFraction of the tokens that are left in a window is shared by
	// the granting hosts in addition to the reserve.
	headroomReserveFraction = 0.5
	// steadyBurstFraction of a workspace's burst and steadySlackFraction of the
	// slack are granted in each window to a workspace with a steady load.
	steadyBurstFraction, steadySlackFraction = 0.8, 0.35
	// burstSlackFraction is the fraction of the slack that is added to a
	// workspace's burst as bucket capacity.
	burstSlackFraction = 0.15
	// sendThreshold is the fraction of a host's share of the reserve above
	// which unsent usage is sent to peers without waiting for the next
	// exchange.
	sendThreshold = 0.3
	// unsentRetry is the retry delay after a refusal because of unsent usage,
	// whose sending has been requested. It is also the minimum of all retry
	// delays.
	unsentRetry = 20 * time.Millisecond
	// maxIncarnations bounds the tracked incarnations of peers.
	maxIncarnations = 1024
)

// PeerState describes the other hosts.
type PeerState struct {
	// Reachable are the other granting hosts that receive this host's usage.
	// Unreachable are the hosts whose usage does not reach this host; they may
	// consume their share of the limit.
	Reachable, Unreachable []string
	// Hosts is the number of hosts, and Granters that of granting ones, both with
	// this host.
	Hosts, Granters int
}

// Peers provides the state of the other hosts.
type Peers interface {
	// State returns the current state. The limiter does not modify it.
	State() PeerState
	// TriggerExchange requests that this host's usage be sent to the other
	// hosts soon.
	TriggerExchange()
}

// Limiter limits the token rate of workspaces. It is safe for concurrent use.
type Limiter struct {
	settings  Settings
	peers     Peers
	startedAt time.Time

	mu       sync.Mutex
	accounts map[string]*account
	// reported is the last usage reported by each incarnation of a peer in
	// tokens, by incarnation and workspace.
	reported map[string]map[string]int64
	// sent is the usage of this host that each peer has acknowledged in tokens,
	// by peer and workspace.
	sent map[string]map[string]int64
}

// New returns a limiter for a process that started at startedAt.
func New(startedAt time.Time, s Settings, peers Peers) *Limiter {
	if s.Rand == nil {
		s.Rand = rand.Float64
	}
	return &Limiter{
		settings: s, peers: peers, startedAt: startedAt, accounts: make(map[string]*account),
		reported: make(map[string]map[string]int64), sent: make(map[string]map[string]int64),
	}
}

// Reserve consumes tokens of the workspace's rate for a request before it is
// sent. If they are not available, it returns false and the time after which to
// retry.
func (l *Limiter) Reserve(now time.Time, w *catalog.Workspace, tokens int64) (retry time.Duration, ok bool) {
	if w.Rate <= 0 {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	peers := l.peers.State()
	reachableGranters := int64(len(peers.Reachable) + 1)
	granters := max(reachableGranters, int64(peers.Granters))
	hosts := max(reachableGranters+int64(len(peers.Unreachable)), int64(peers.Hosts))
	limit, reserve := l.limit(w)
	slot, share := l.slot(now), limit/hosts
	a := l.account(w.Name)
	headroom := limit - a.windowUsage(slot, peers.Unreachable, share) - l.priorUsage(now, limit)
	// A request larger than the whole window is admitted once the window is
	// empty.
	need := min(tokens, limit-share*int64(len(peers.Unreachable)))
	if wait := l.bucketWait(now, a, w, need); wait > 0 {
		return max(unsentRetry, wait), false
	}
	if need > headroom {
		// Otherwise the bucket would release all tokens at once when the window allows it.
		a.available = min(a.available, float64(need))
		return l.windowWait(now, a, need-headroom, limit), false
	}
	unsent := a.consumed - l.minSent(w.Name, peers.Reachable, a.consumed)
	reserveShare := (reserve + int64(headroomReserveFraction*float64(headroom))) / granters
	if !l.admitUnsent(unsent, need, reserveShare, headroom/reachableGranters) {
		return unsentRetry, false
	}
	a.consume(slot, tokens)
	return 0, true
}

// bucketWait returns the time until the tokens are available in the account's
// bucket, at most 0 if they are available now. The bucket spreads the window's
// tokens evenly: otherwise a workspace that requests many times its rate would
// consume all of them at once and then nothing for the rest of the window.
func (l *Limiter) bucketWait(now time.Time, a *account, w *catalog.Workspace, tokens int64) time.Duration {
	rate := w.Rate + (steadyBurstFraction*w.Burst+steadySlackFraction*l.settings.Slack)/l.settings.Window.Seconds()
	capacity := w.Burst + burstSlackFraction*l.settings.Slack
	a.refill(now, rate, capacity)
	missing := min(float64(tokens), capacity) - a.available
	return time.Duration(missing / rate * float64(time.Second))
}

// limit returns the number of tokens that the workspace may consume in a window
// according to known usage, and the reserve for usage that is not known yet.
func (l *Limiter) limit(w *catalog.Workspace) (limit, reserve int64) {
	base := w.Rate*l.settings.Window.Seconds() + w.Burst
	excess := l.settings.Overage*base + l.settings.Slack
	reserved := max(reserveFraction*excess, minReserveFraction*base)
	return int64(base + excess - reserved), int64(reserved)
}

// priorUsage returns the assumed usage of earlier processes that is still in
// the window: the whole limit, spread evenly over the window before the start.
func (l *Limiter) priorUsage(now time.Time, limit int64) int64 {
	if l.settings.FirstStart {
		return 0
	}
	left := 1 - float64(now.Sub(l.startedAt))/float64(l.settings.Window)
	return int64(max(0, left) * float64(limit))
}

// admitUnsent reports whether tokens may be consumed in addition to the usage
// that some peer has not received yet. Hosts may consume concurrently, so each
// has a share of the reserve. A request larger than the share is admitted only
// if there is no other unsent usage: always if every host could admit one of
// the same size, and otherwise with a probability that makes the expected usage
// match the available tokens.
func (l *Limiter) admitUnsent(unsent, tokens, share, headroom int64) bool {
	if float64(unsent+tokens) > sendThreshold*float64(share) {
		l.peers.TriggerExchange()
	}
	switch {
	case unsent+tokens <= share:
		return true
	case unsent > 0:
		return false
	case tokens <= headroom:
		return true
	default:
		return l.settings.Rand() < float64(headroom)/float64(tokens)
	}
}

// minSent returns the lowest usage of this process that any reachable peer has
// acknowledged; consumed if none is reachable.
func (l *Limiter) minSent(workspace string, reachable []string, consumed int64) int64 {
	minimum := consumed
	for _, name := range reachable {
		minimum = min(minimum, l.sent[name][workspace])
	}
	return minimum
}

// windowWait returns the time until the given number of additional tokens has
// left the window.
func (l *Limiter) windowWait(now time.Time, a *account, tokens, limit int64) time.Duration {
	next := l.startedAt.Add(time.Duration(a.total.slot+a.total.until(tokens)) * l.slotWidth())
	wait := next.Sub(now)
	if l.priorUsage(now, limit) >= tokens { // prior usage leaves the window evenly
		wait = min(wait, time.Duration(float64(tokens)/float64(limit)*float64(l.settings.Window)))
	}
	return max(unsentRetry, wait)
}

// Refund returns the tokens that were reserved at reservedAt for a request that
// was not executed.
func (l *Limiter) Refund(now, reservedAt time.Time, workspace string, tokens int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[workspace]
	if a == nil {
		return
	}
	a.total.advance(l.slot(now))
	a.total.add(l.slot(reservedAt), -tokens)
	a.consumed -= tokens
	a.available += float64(tokens)
}

// Adopt counts tokens that a host consumed by itself while it was out of touch as
// consumed by this one, which reports them to its peers. usage is the total consumed by
// an incarnation of that host, recent the part of it in the current window, which
// counts if this is its first report.
func (l *Limiter) Adopt(now time.Time, incarnation string, usage, recent map[string]int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last, reported := l.reported[incarnation]
	slot := l.slot(now)
	for name, total := range usage {
		consumed := total - last[name]
		if !reported {
			consumed = recent[name]
		}
		if consumed > 0 {
			l.account(name).consume(slot, consumed)
		}
	}
	l.setReported(incarnation, usage)
}

// Reset forgets the usage of other hosts, whose later reports this process will have
// received only from now on, and assumes that the whole limit has just been consumed.
func (l *Limiter) Reset(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startedAt, l.settings.FirstStart = now, false
	for name, a := range l.accounts {
		l.accounts[name] = &account{consumed: a.consumed, refilledAt: now}
	}
	clear(l.sent)
	clear(l.reported)
}

// Acknowledged records the usage of this host that a peer has acknowledged.
func (l *Limiter) Acknowledged(peer string, usage map[string]int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[peer] = usage
}

// RemovePeer removes a peer that has left. Its usage stays counted.
func (l *Limiter) RemovePeer(peer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.sent, peer)
}

// Usage returns this process's usage of each workspace's rate, for its peers.
func (l *Limiter) Usage() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int64, len(l.accounts))
	for name, a := range l.accounts {
		if a.consumed != 0 {
			out[name] = a.consumed
		}
	}
	return out
}

// AddPeerUsage applies the usage reported by an incarnation of a peer. The first
// report of one that is older than this process only sets the baseline.
func (l *Limiter) AddPeerUsage(now time.Time, host, incarnation string, older bool, usage map[string]int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last, reported := l.reported[incarnation]
	if reported || !older {
		slot := l.slot(now)
		for name, total := range usage {
			if consumed := total - last[name]; consumed != 0 {
				l.account(name).consumePeer(slot, host, consumed)
			}
		}
	}
	l.setReported(incarnation, usage)
}

// setReported records the usage last reported by an incarnation. The caller holds mu.
func (l *Limiter) setReported(incarnation string, usage map[string]int64) {
	if _, known := l.reported[incarnation]; !known && len(l.reported) >= maxIncarnations {
		clear(l.reported)
	}
	l.reported[incarnation] = usage
}

// RecentUsage returns this process's own usage in the current window, by workspace.
// Usage reported by others is not included.
func (l *Limiter) RecentUsage(now time.Time) map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int64)
	for name, a := range l.accounts {
		a.total.advance(l.slot(now))
		recent := a.total.sum
		for _, peer := range a.peers {
			peer.advance(l.slot(now))
			recent -= peer.sum
		}
		if recent > 0 {
			out[name] = recent
		}
	}
	return out
}

// account returns the account of a workspace, created on first use. The caller
// holds mu.
func (l *Limiter) account(workspace string) *account {
	a := l.accounts[workspace]
	if a == nil {
		a = &account{refilledAt: l.startedAt}
		if l.settings.FirstStart {
			a.available = math.Inf(1) // limited to the bucket's capacity by the first refill
		}
		l.accounts[workspace] = a
	}
	return a
}

// slotWidth returns the duration of one slot.
func (l *Limiter) slotWidth() time.Duration { return l.settings.Window / ringSlots }

// slot returns the number of the slot that contains now.
func (l *Limiter) slot(now time.Time) int64 { return int64(now.Sub(l.startedAt) / l.slotWidth()) }
