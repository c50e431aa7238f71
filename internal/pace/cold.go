package pace

import (
	"time"
)

// ColdBound is what an endpoint bears, from all hosts together, for some time after its start.
type ColdBound struct {
	// PerSecond is the rate of requests that it takes.
	PerSecond float64
	// Most is the number of requests in any second beyond which it may fail.
	Most float64
}

const (
	// coldWindow is the second for which ColdBound is stated, and a margin: requests sent
	// that far apart may arrive closer together.
	coldWindow = 1100 * time.Millisecond
	// coldPart is the least number of requests in a window of each host that sends to a
	// cold endpoint, if it bears as many: fewer hosts send to it in large fleets.
	coldPart = 2
	// unlistedSharers is the number of sharers in excess for which there is room: hosts
	// whose views of the fleet differ choose different ones.
	unlistedSharers = 2
)

// Split returns how many hosts send to a cold endpoint and how many requests each of them may
// send in a window, so that all of them together keep within Most whatever they know of each
// other.
func (b ColdBound) Split(hosts int) (sharers, each int) {
	sharers = max(1, min(hosts, int(b.Most/coldPart)-unlistedSharers))
	return sharers, max(1, int(b.Most/float64(sharers+unlistedSharers)))
}

// Cold counts the requests to one endpoint that is cold, or may become so. It is not safe for
// concurrent use.
type Cold struct {
	// all holds the times of the requests of all hosts, own those of this one.
	all, own []time.Time
}

// Arrived counts a request that was sent by this host or, if own is false, by another one.
func (c *Cold) Arrived(now time.Time, own bool) {
	c.prune(now)
	if len(c.all) < maxArrivals {
		c.all = append(c.all, now)
	}
	if own {
		c.own = append(c.own, now)
	}
}

func (c *Cold) prune(now time.Time) {
	c.all = since(c.all, now.Add(-coldWindow))
	c.own = since(c.own, now.Add(-coldWindow))
}

// Wait returns the time after which the host may send a request to the endpoint while it is
// cold, at most 0 if it may now. No host sends more than its part; one that knows what the
// others send leaves the endpoint alone once all have sent what it takes in a second.
func (c *Cold) Wait(now time.Time, b ColdBound, share Share) time.Duration {
	c.prune(now)
	sharers, each := b.Split(share.Sharers)
	if share.Rank >= sharers {
		return max(time.Millisecond, time.Duration(float64(time.Second)/b.PerSecond))
	}
	wait := untilRoom(now, c.own, each, coldWindow)
	if share.InTouch {
		wait = max(wait, untilRoom(now, c.all, max(1, int(b.PerSecond*coldWindow.Seconds())), coldWindow))
	}
	return wait
}

// untilRoom returns the time until fewer than most of the requests are in the window.
func untilRoom(now time.Time, times []time.Time, most int, window time.Duration) time.Duration {
	if len(times) < most {
		return 0
	}
	return times[len(times)-most].Add(window).Sub(now)
}

// Use returns the requests in the window as a fraction of what the endpoint takes.
func (c *Cold) Use(now time.Time, b ColdBound) float64 {
	c.prune(now)
	return float64(len(c.all)) / (b.PerSecond * coldWindow.Seconds())
}
