// Package limit keeps each workspace within its rate over all hosts together.
// Every host has a token bucket for each workspace that holds the whole rate;
// hosts tell each other what they took, and a host gives up the part of each
// peer that it cannot hear. It does no I/O.
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
	// Full says that buckets start full: the deployment starts for the first
	// time. Otherwise an earlier process may have just emptied them.
	Full bool
}

// slackShare is the part of the slack that the bucket uses itself. The rest is
// for the requests that peers admit before they hear of each other's.
const slackShare = 0.25

// Limiter is safe for concurrent use.
type Limiter struct {
	settings Settings
	// audible is the share of hosts whose takings this host hears, itself
	// included.
	audible func() float64

	mu      sync.Mutex
	buckets map[string]*bucket
	// heard is what each incarnation of a peer had taken at its last report.
	heard map[string]map[string]int64
}

type bucket struct {
	level float64
	at    time.Time
	// spent is what this process took, less what it gave back.
	spent int64
}

// New returns a limiter.
func New(s Settings, audible func() float64) *Limiter {
	return &Limiter{settings: s, audible: audible, buckets: make(map[string]*bucket), heard: make(map[string]map[string]int64)}
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
	rate := w.Rate * l.audible()
	b.refill(now, rate, l.size(w))
	// A request larger than the bucket passes when the bucket is full.
	need := min(float64(tokens), l.size(w))
	if b.level < need {
		return time.Duration((need - b.level) / rate * float64(time.Second)), false
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

func (b *bucket) refill(now time.Time, rate, size float64) {
	if d := now.Sub(b.at); d > 0 {
		b.level += rate * d.Seconds()
		b.at = now
	}
	b.level = min(b.level, size)
}
