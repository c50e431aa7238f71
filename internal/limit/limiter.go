// Package limit keeps each workspace within its rate over all hosts together.
// Every host counts what all hosts took in the sliding window that the rate is
// stated for, and admits what still fits. Hosts tell each other what they took;
// what a host takes before its peers have heard of it is bounded by its part of
// a reserve, and for each peer that it cannot hear it sets a part of the limit
// aside. It does no I/O.
package limit

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/catalog"
)

// Settings bound the limiter.
type Settings struct {
	// Window is the span in which a workspace may use its rate and its burst.
	Window time.Duration
	// Overage is the share, and Slack the tokens, by which all hosts together
	// may go over that. Both cover what hosts have not yet heard of each other.
	Overage, Slack float64
	// Full says that nothing was taken before the process started: the
	// deployment starts for the first time. Otherwise earlier processes may
	// have just taken all there was.
	Full bool
	// Draw returns a random number in [0, 1); nil stands for the default source.
	Draw func() float64
}

const (
	// reserveShare is the part of the allowed overage and slack that is kept
	// for what hosts have not yet heard of each other.
	reserveShare = 0.5
	// minReserve is the least of that reserve, as a share of the window's
	// tokens, where little or no overage is allowed.
	minReserve = 0.1
	// steadyBurst is the part of a workspace's burst, and steadySlack that of
	// the slack, that a workspace which asks steadily gets in each window.
	steadyBurst, steadySlack = 0.8, 0.35
	// burstSlack is the part of the slack by which more than a workspace's
	// burst may be taken at once.
	burstSlack = 0.15
	// urgeShare is the part of what may be taken unheard at which peers are
	// told without waiting for the next exchange.
	urgeShare = 0.3
	// untoldRetry is when to ask again after a refusal because peers have not
	// yet heard of what was taken: they were urged to.
	untoldRetry = 20 * time.Millisecond
	// maxHeard bounds the remembered incarnations of peers.
	maxHeard = 1024
)

// Peers says which other hosts there are.
type Peers interface {
	// Audible returns the names of the other hosts that this one hears, and of
	// those that it does not.
	Audible() (heard, silent []string)
	// Urge tells the other hosts soon what this one took.
	Urge()
}

// Limiter is safe for concurrent use.
type Limiter struct {
	settings Settings
	peers    Peers
	begun    time.Time

	mu       sync.Mutex
	accounts map[string]*account
	// heard is what each incarnation of a peer had taken at its last report,
	// told what each peer knows of this host's takings.
	heard map[string]map[string]int64
	told  map[string]map[string]int64
}

// New returns a limiter of a process that began at a time.
func New(begun time.Time, s Settings, peers Peers) *Limiter {
	if s.Draw == nil {
		s.Draw = rand.Float64
	}
	return &Limiter{
		settings: s, peers: peers, begun: begun, accounts: make(map[string]*account),
		heard: make(map[string]map[string]int64), told: make(map[string]map[string]int64),
	}
}

// Take takes tokens from the workspace's rate, or says after how long enough
// of them will be there.
func (l *Limiter) Take(now time.Time, w *catalog.Workspace, tokens int64) (retry time.Duration, ok bool) {
	if w.Rate <= 0 {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	heard, silent := l.peers.Audible()
	audible := int64(len(heard) + 1)
	hosts := audible + int64(len(silent))
	limit, reserve := l.limit(w)
	slot, part := l.slot(now), limit/hosts
	a := l.account(w.Name)
	room := limit - a.known(slot, silent, part) - l.assumed(now, limit)
	// A request larger than the whole window passes once the window is empty.
	need := min(tokens, limit-part*int64(len(silent)))
	if wait := l.pace(now, a, w, need); wait > 0 {
		return max(untoldRetry, wait), false
	}
	if need > room {
		a.level = min(a.level, float64(need)) // else what the window holds back would come all at once
		return l.wait(now, a, need-room, limit), false
	}
	if !l.unheard(a.spent-l.least(w.Name, heard, a.spent), need, reserve/hosts, room/audible) {
		return untoldRetry, false
	}
	a.take(slot, tokens)
	return 0, true
}

// pace is the time until the account's bucket holds so many tokens. It spreads
// evenly what a window allows: a workspace that asks for many times its rate
// would otherwise have it all at once, and then nothing for the rest of a window.
func (l *Limiter) pace(now time.Time, a *account, w *catalog.Workspace, tokens int64) time.Duration {
	rate := w.Rate + (steadyBurst*w.Burst+steadySlack*l.settings.Slack)/l.settings.Window.Seconds()
	size := w.Burst + burstSlack*l.settings.Slack
	a.refill(now, rate, size)
	short := min(float64(tokens), size) - a.level
	return time.Duration(short / rate * float64(time.Second))
}

// limit is what the workspace may take in a window, as far as hosts know of
// each other's takings, and the reserve for what they do not know.
func (l *Limiter) limit(w *catalog.Workspace) (limit, reserve int64) {
	base := w.Rate*l.settings.Window.Seconds() + w.Burst
	spare := l.settings.Overage*base + l.settings.Slack
	kept := max(reserveShare*spare, minReserve*base)
	return int64(base + spare - kept), int64(kept)
}

// assumed is what earlier processes may have taken that still is in the window:
// all of it, evenly over the time before the start.
func (l *Limiter) assumed(now time.Time, limit int64) int64 {
	if l.settings.Full {
		return 0
	}
	left := 1 - float64(now.Sub(l.begun))/float64(l.settings.Window)
	return int64(max(0, left) * float64(limit))
}

// unheard says whether tokens may be taken beside those that some peer does not
// know of yet. Hosts may take at the same time, so each has a part of the
// reserve. A request larger than the part passes by itself: if there is room for
// one on each host, or by a draw, so that about as much is taken as there is.
func (l *Limiter) unheard(untold, tokens, part, room int64) bool {
	if float64(untold+tokens) > urgeShare*float64(part) {
		l.peers.Urge()
	}
	switch {
	case untold+tokens <= part:
		return true
	case untold > 0:
		return false
	case tokens <= room:
		return true
	default:
		return l.settings.Draw() < float64(room)/float64(tokens)
	}
}

// least is the least that some peer that is heard knows of what this process
// took.
func (l *Limiter) least(workspace string, heard []string, spent int64) int64 {
	least := spent
	for _, name := range heard {
		least = min(least, l.told[name][workspace])
	}
	return least
}

// wait is the time until so many more tokens have left the window.
func (l *Limiter) wait(now time.Time, a *account, tokens, limit int64) time.Duration {
	next := l.begun.Add(time.Duration(a.all.slot+a.all.until(tokens)) * l.width())
	wait := next.Sub(now)
	if l.assumed(now, limit) >= tokens { // that leaves the window evenly
		wait = min(wait, time.Duration(float64(tokens)/float64(limit)*float64(l.settings.Window)))
	}
	return max(untoldRetry, wait)
}

// Give returns tokens of a request that did not run. They were taken at a time.
func (l *Limiter) Give(now, taken time.Time, workspace string, tokens int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[workspace]
	if a == nil {
		return
	}
	a.all.advance(l.slot(now))
	a.all.add(l.slot(taken), -tokens)
	a.spent -= tokens
	a.level += float64(tokens)
}

// Told notes that a peer knows of these takings of this host.
func (l *Limiter) Told(peer string, spent map[string]int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told[peer] = spent
}

// Gone forgets a peer that is no longer there. What it took stays counted.
func (l *Limiter) Gone(peer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.told, peer)
}

// Spent is what this process took of each workspace's rate, for its peers.
func (l *Limiter) Spent() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int64, len(l.accounts))
	for name, a := range l.accounts {
		if a.spent != 0 {
			out[name] = a.spent
		}
	}
	return out
}

// Peer takes what an incarnation of a peer has taken so far. Of one that was
// there before this process, the first report only sets the starting point.
func (l *Limiter) Peer(now time.Time, host, incarnation string, older bool, spent map[string]int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last, known := l.heard[incarnation]
	if known || !older {
		slot := l.slot(now)
		for name, total := range spent {
			if took := total - last[name]; took != 0 {
				l.account(name).heard(slot, host, took)
			}
		}
	}
	if !known && len(l.heard) >= maxHeard {
		clear(l.heard)
	}
	l.heard[incarnation] = spent
}

func (l *Limiter) account(workspace string) *account {
	a := l.accounts[workspace]
	if a == nil {
		a = &account{refilled: l.begun}
		if l.settings.Full {
			a.level = math.Inf(1) // up to its size
		}
		l.accounts[workspace] = a
	}
	return a
}

func (l *Limiter) width() time.Duration { return l.settings.Window / ringSlots }

func (l *Limiter) slot(now time.Time) int64 { return int64(now.Sub(l.begun) / l.width()) }
