// Package mediantime estimates the true time of day on hosts whose wall clocks
// may jump. The estimate is the median of the wall clocks of all hosts,
// advanced by the local monotonic clock.
package mediantime

import (
	"slices"
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/lease"
)

// Clock estimates the true time of day. It is safe for concurrent use.
type Clock struct {
	monotonic lease.Clock
	start     lease.Instant
	wall      func() time.Time

	// mu guards the fields below.
	mu sync.Mutex
	// ownOffset is the wall clock minus the monotonic time at the start. A
	// later jump of this host's wall clock does not affect it.
	ownOffset time.Duration
	// peers holds the same offset for the clocks of other hosts, by host.
	peers map[string]sample
}

// sample is one reading of a peer's wall clock.
type sample struct {
	offset time.Duration
	// receivedAt is the monotonic time since the start.
	receivedAt time.Duration
}

// sampleTTL is the time after which a peer's reading expires.
const sampleTTL = 10 * time.Second

// New returns a clock that uses this host's wall clock until it has readings of
// enough peers.
func New(monotonic lease.Clock, wall func() time.Time) *Clock {
	c := &Clock{monotonic: monotonic, start: monotonic.Now(), wall: wall, peers: make(map[string]sample)}
	c.ownOffset = time.Duration(wall().UnixNano())
	return c
}

// elapsed returns the monotonic time since the start.
func (c *Clock) elapsed() time.Duration { return c.monotonic.Now().Since(c.start) }

// RecordPeer records the current wall clock of another host.
func (c *Clock) RecordPeer(host string, wall time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	elapsed := c.elapsed()
	c.peers[host] = sample{offset: time.Duration(wall.UnixNano()) - elapsed, receivedAt: elapsed}
}

// Readings returns the current readings of up to limit other hosts' clocks, in Unix
// milliseconds by host.
func (c *Clock) Readings(limit int) map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	elapsed := c.elapsed()
	out := make(map[string]int64, limit)
	for host, s := range c.peers {
		if len(out) >= limit {
			break
		}
		if elapsed-s.receivedAt <= sampleTTL {
			out[host] = (s.offset + elapsed).Milliseconds()
		}
	}
	return out
}

// Now returns the estimate: the median of the hosts' readings, or this host's
// own reading if there are fewer than minReadings.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	elapsed := c.elapsed()
	offsets := []time.Duration{c.ownOffset}
	for host, s := range c.peers {
		if elapsed-s.receivedAt > sampleTTL {
			delete(c.peers, host)
			continue
		}
		offsets = append(offsets, s.offset)
	}
	if len(offsets) < minReadings {
		return time.Unix(0, int64(c.ownOffset+elapsed))
	}
	slices.Sort(offsets)
	return time.Unix(0, int64(offsets[len(offsets)/2]+elapsed))
}

// minReadings is the number of readings at which the median ignores a single
// wrong one.
const minReadings = 3
