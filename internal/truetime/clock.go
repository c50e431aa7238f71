// Package truetime estimates the true time of day on hosts whose clocks may
// jump: the median over all hosts of their time of day, carried on by the
// steady clock.
package truetime

import (
	"slices"
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/lease"
)

// Clock estimates the true time. It is safe for concurrent use.
type Clock struct {
	steady lease.Clock
	start  lease.Instant
	wall   func() time.Time

	mu sync.Mutex
	// own is the time of day minus the steady time at the start: a later jump
	// of this host's clock does not touch it.
	own time.Duration
	// peers are the same differences as other hosts' clocks give them.
	peers map[string]sample
}

type sample struct {
	offset time.Duration
	at     time.Duration
}

// sampleLife is how long a peer's reading counts.
const sampleLife = 10 * time.Second

// New returns a clock that trusts this host's time of day until it hears others.
func New(steady lease.Clock, wall func() time.Time) *Clock {
	c := &Clock{steady: steady, start: steady.Now(), wall: wall, peers: make(map[string]sample)}
	c.own = time.Duration(wall().UnixNano())
	return c
}

// elapsed is the steady time since the start.
func (c *Clock) elapsed() time.Duration { return c.steady.Now().Since(c.start) }

// Peer takes another host's time of day as it was just read there.
func (c *Clock) Peer(host string, wall time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.elapsed()
	c.peers[host] = sample{offset: time.Duration(wall.UnixNano()) - e, at: e}
}

// Now is the estimate: the median of the hosts' readings, and this host's own
// when it hears too few to outvote it.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.elapsed()
	offsets := []time.Duration{c.own}
	for host, s := range c.peers {
		if e-s.at > sampleLife {
			delete(c.peers, host)
			continue
		}
		offsets = append(offsets, s.offset)
	}
	if len(offsets) < minVoters {
		return time.Unix(0, int64(c.own+e))
	}
	slices.Sort(offsets)
	return time.Unix(0, int64(offsets[len(offsets)/2]+e))
}

// minVoters is the least number of readings of which a wrong one is outvoted.
const minVoters = 3
