// Package limit keeps each workspace within its rate over all hosts together.
// Every host has a token bucket for each workspace that holds the whole rate,
// and hosts tell each other what they took. A host takes no more than its part
// of a bucket before its peers have heard of it, and sets aside the part of
// each peer that it cannot hear. It does no I/O.
package limit

import (
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/catalog"
)

// Settings bound the limiter.
type Settings struct {
	// Slack is the tokens that all hosts may go over a workspace's rate in a
	// window; a part of it covers what peers have not yet heard.
	Slack float64
	// Window is the span in which a workspace may use its rate and its burst.
	Window time.Duration
	// Full says that buckets start full: the deployment starts for the first
	// time. Otherwise an earlier process may have just emptied them.
	Full bool
}

// slackShare is the part of the slack that the bucket uses itself. The rest is
// for the requests that peers admit before they hear of each other's.
const slackShare = 0.15

// Peers says which other hosts there are.
type Peers interface {
	// Audible returns the number of hosts, this one included, and the names of
	// the other ones that this host hears.
	Audible() (hosts int, heard []string)
	// Urge tells the other hosts soon what this one took.
	Urge()
}

// Limiter is safe for concurrent use.
type Limiter struct {
	settings Settings
	peers    Peers

	mu      sync.Mutex
	buckets map[string]*bucket
	// heard is what each incarnation of a peer had taken at its last report,
	// told what each peer knows of this host's takings.
	heard map[string]map[string]int64
	told  map[string]map[string]int64
}

type bucket struct {
	level float64
	at    time.Time
	// spent is what this process took, less what it gave back.
	spent int64
	// reserve is what is set aside for peers that are silent, withheld the
	// refill that was theirs meanwhile.
	reserve, withheld float64
}

// New returns a limiter.
func New(s Settings, peers Peers) *Limiter {
	return &Limiter{
		settings: s, peers: peers, buckets: make(map[string]*bucket),
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
	b := l.bucket(now, w)
	hosts, heard := l.peers.Audible()
	silent := float64(hosts-1-len(heard)) / float64(hosts)
	rate := l.rate(w)
	b.refill(now, rate, l.size(w), silent)
	// A request larger than the bucket passes when the bucket is full.
	need := min(float64(tokens), l.size(w)*(1-silent))
	if b.level < need {
		return time.Duration((need - b.level) / (rate * (1 - silent)) * float64(time.Second)), false
	}
	untold, part := l.untold(w.Name, b.spent, heard), l.size(w)/float64(hosts)
	if float64(untold+tokens) > part*urgeShare {
		l.peers.Urge()
	}
	if untold > 0 && float64(untold+tokens) > part {
		return untoldRetry, false
	}
	b.level -= float64(tokens)
	b.spent += tokens
	return 0, true
}

// Give returns tokens of a request that did not run.
func (l *Limiter) Give(workspace string, tokens int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[workspace]; b != nil {
		b.level += float64(tokens)
		b.spent -= tokens
	}
}

// urgeShare is the part of what may be taken unheard at which peers are told
// without waiting for the next exchange.
const urgeShare = 0.3

// untoldRetry is when to ask again after a refusal because peers have not yet
// heard of what was taken: they were urged to.
const untoldRetry = 20 * time.Millisecond

// untold is what some peer that is heard does not yet know to be taken. The
// caller holds mu.
func (l *Limiter) untold(workspace string, spent int64, heard []string) int64 {
	most := int64(0)
	for _, name := range heard {
		most = max(most, spent-l.told[name][workspace])
	}
	return most
}

// Told notes that a peer knows of these takings of this host.
func (l *Limiter) Told(peer string, spent map[string]int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told[peer] = spent
}

// Gone forgets a peer that is no longer there.
func (l *Limiter) Gone(peer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.told, peer)
}

// Spent is what this process took of each workspace's rate, for its peers.
func (l *Limiter) Spent() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int64, len(l.buckets))
	for name, b := range l.buckets {
		out[name] = b.spent
	}
	return out
}

// Peer takes what an incarnation of a peer has taken so far. Of one that was
// there before this process, the first report only sets the starting point.
func (l *Limiter) Peer(incarnation string, older bool, spent map[string]int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last, known := l.heard[incarnation]
	if known || !older {
		for name, total := range spent {
			b := l.buckets[name]
			if b == nil {
				b = &bucket{}
				l.buckets[name] = b
			}
			b.level -= float64(total - last[name])
		}
	}
	if !known && len(l.heard) >= maxHeard {
		clear(l.heard)
	}
	l.heard[incarnation] = spent
}

// maxHeard bounds the remembered incarnations of peers.
const maxHeard = 1024

// rate is what a bucket gets a second. The burst may be used in each window,
// so a part of it is added to the rate, or a workspace that asks steadily would
// never have it.
func (l *Limiter) rate(w *catalog.Workspace) float64 {
	return w.Rate + burstShare*w.Burst/l.settings.Window.Seconds()
}

// burstShare is the part of the burst that is refilled in each window. The rest
// stays in hand, for a full bucket may be taken at once as well.
const burstShare = 0.8

func (l *Limiter) size(w *catalog.Workspace) float64 {
	return w.Burst + slackShare*l.settings.Slack
}

func (l *Limiter) bucket(now time.Time, w *catalog.Workspace) *bucket {
	b := l.buckets[w.Name]
	if b == nil {
		b = &bucket{}
		l.buckets[w.Name] = b
	}
	if b.at.IsZero() { // first used here; peers may have used it before
		b.at = now
		if l.settings.Full {
			b.level += l.size(w)
		}
	}
	return b
}

// refill adds what came in since the last time. The part of silent hosts, a
// share of all, is set aside: they may take it without being heard. It comes
// back when they are heard again, with what they took in their reports.
func (b *bucket) refill(now time.Time, rate, size, silent float64) {
	if d := now.Sub(b.at); d > 0 {
		b.level += rate * d.Seconds() * (1 - silent)
		b.withheld += rate * d.Seconds() * silent
		b.at = now
	}
	if silent == 0 {
		b.level += b.withheld
		b.withheld = 0
	}
	b.withheld = min(b.withheld, size*silent)
	b.level += b.reserve - size*silent
	b.reserve = size * silent
	b.level = min(b.level, size*(1-silent))
}
