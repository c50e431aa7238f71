// Package pace decides how many requests each host sends to an endpoint that has stated
// the rate it takes from all hosts together. A few hosts share the rate of an endpoint;
// each keeps to its share, and beyond it to what all of them have not used. The package
// does no I/O.
package pace

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Statement is what an endpoint last stated about its rate, as far as known.
type Statement struct {
	// StartedAtMS is the start time of the endpoint's incarnation.
	StartedAtMS int64
	// PerSecond is the number of requests a second that it takes from all hosts; 0 means
	// that it states none.
	PerSecond float64
	// At is when the answer came that stated it.
	At time.Time
}

const (
	// Window is the time in which requests are counted.
	Window = 4 * time.Second
	// MinPerSecond is the lowest rate that is kept: one request in a window, which tells
	// when the endpoint takes more.
	MinPerSecond = 0.25
	// MaxPerSecond is the highest rate that limits anything.
	MaxPerSecond = 1e6
	// statementTTL is how long a statement counts that is not repeated.
	statementTTL = 30 * time.Second
	// tolerance and toleratedRequests state by how much an endpoint tolerates more than its
	// rate in a window, as a factor and in requests. usedTolerance is the factor that is
	// used.
	tolerance         = 1.5
	toleratedRequests = 5
	usedTolerance     = 1.42
	// minShare is the least share of a host, in requests a second, where more than
	// minSharers share: endpoints that state low rates are used by fewer hosts.
	minShare   = 2.0
	minSharers = 8
	// burstTime is the time whose requests a host may send at once that does not know what
	// the others send.
	burstTime = 500 * time.Millisecond
	// unseenRequests is the number of requests by which each of the hosts may have sent
	// more than the others know.
	unseenRequests = 1.0
	// unseenTime is the time within which the others may not know what a host sent.
	unseenTime = 500 * time.Millisecond
)

// Sharers returns the number of hosts that share a rate.
func Sharers(perSecond float64, hosts int) int {
	return max(1, min(hosts, max(minSharers, int(math.Ceil(perSecond/minShare)))))
}

// Rank returns how many of the hosts come before this one in sharing the rate of an
// endpoint: those whose names hash higher with the endpoint's.
func Rank(endpoint, self string, hosts []string) int {
	own, rank := score(endpoint, self), 0
	for _, host := range hosts {
		if host != self && cmp.Or(cmp.Compare(score(endpoint, host), own), cmp.Compare(host, self)) > 0 {
			rank++
		}
	}
	return rank
}

func score(endpoint, host string) uint64 { return xxhash.Sum64String(endpoint + "\x00" + host) }

// Pacer counts the requests to one endpoint that has stated a rate. It is not safe for
// concurrent use.
type Pacer struct {
	statement Statement
	// arrivals holds the times of the requests of all hosts in the window, own those of
	// this host within unseenTime.
	arrivals, own []time.Time
	// tokens is the fill level of the host's bucket as of filledAt.
	tokens   float64
	filledAt time.Time
}

// New returns a pacer for a statement. It assumes that the rate has been used before: other
// hosts may have sent what this one does not know of.
func New(now time.Time, s Statement) *Pacer {
	p := &Pacer{statement: s, filledAt: now}
	assumed := min(maxArrivals, int(s.PerSecond*Window.Seconds()))
	for i := range assumed {
		p.arrivals = append(p.arrivals, now.Add(-Window*time.Duration(assumed-i)/time.Duration(assumed)))
	}
	return p
}

// State replaces the statement by a newer one.
func (p *Pacer) State(s Statement) {
	if s.At.After(p.statement.At) {
		p.statement = s
	}
}

// Statement returns the statement.
func (p *Pacer) Statement() Statement { return p.statement }

// Expired reports whether the statement no longer counts.
func (p *Pacer) Expired(now time.Time) bool { return now.Sub(p.statement.At) > statementTTL }

// Limits reports whether the endpoint has stated a rate that counts.
func (p *Pacer) Limits(now time.Time) bool { return p.statement.PerSecond > 0 && !p.Expired(now) }

// Arrived counts a request that was sent to the endpoint by this host or, if own is false,
// by another one.
func (p *Pacer) Arrived(now time.Time, own bool) {
	p.prune(now)
	if len(p.arrivals) < maxArrivals {
		p.arrivals = append(p.arrivals, now)
	}
	if own {
		p.tokens--
		p.own = append(p.own, now)
	}
}

// maxArrivals bounds the requests that are counted in a window.
const maxArrivals = 4096

func (p *Pacer) prune(now time.Time) {
	p.arrivals = since(p.arrivals, now.Add(-Window))
	p.own = since(p.own, now.Add(-unseenTime))
}

// since returns the times, which are in order, from the given one on.
func since(times []time.Time, from time.Time) []time.Time {
	n, _ := slices.BinarySearchFunc(times, from, func(at, from time.Time) int { return at.Compare(from) })
	return times[n:]
}

// Share is a host's part in the rate of an endpoint.
type Share struct {
	// Sharers is the number of hosts that share it: those of the lowest ranks. Rank is
	// that of the host.
	Sharers, Rank int
	// InTouch reports whether the host knows what the others send.
	InTouch bool
}

// Wait returns the time after which the host may send a request to the endpoint, at most 0
// if it may now. A host that is not chosen may not; the time is then that of a chosen one.
// A host that knows what the others send uses what the endpoint tolerates; one that does
// not keeps to its share of the rate.
func (p *Pacer) Wait(now time.Time, share Share) time.Duration {
	rate := p.statement.PerSecond
	own := rate / float64(max(1, share.Sharers))
	p.fill(now, own)
	switch {
	case share.Rank >= share.Sharers:
		return time.Duration(float64(time.Second) / rate)
	case !share.InTouch && p.tokens >= 1:
		return 0
	case !share.InTouch:
		return time.Duration((1 - p.tokens) / own * float64(time.Second))
	}
	p.prune(now)
	most := int(usedTolerance*rate*Window.Seconds()+toleratedRequests-unseenRequests*float64(share.Sharers)) - 1
	room := max(1, int(rate*Window.Seconds()), most) - len(p.arrivals)
	if room <= 0 {
		return p.arrivals[min(1-room, len(p.arrivals))-1].Add(Window).Sub(now)
	}
	// The others may use the same room until they know what this host sends.
	if part := max(1, room/share.Sharers); len(p.own) >= part {
		return p.own[len(p.own)-part].Add(unseenTime).Sub(now)
	}
	return 0
}

// Excess returns how far the requests of all hosts in the window exceed the rate: 1 if they
// match it.
func (p *Pacer) Excess(now time.Time) float64 {
	p.prune(now)
	return float64(len(p.arrivals)) / (p.statement.PerSecond * Window.Seconds())
}

// fill adds the tokens since the last fill. What the host sent beyond its share is
// forgotten with the window.
func (p *Pacer) fill(now time.Time, rate float64) {
	elapsed := max(0, now.Sub(p.filledAt).Seconds())
	p.tokens = max(p.tokens, -rate*Window.Seconds())
	p.tokens = min(max(1, rate*burstTime.Seconds()), p.tokens+rate*elapsed)
	p.filledAt = now
}
