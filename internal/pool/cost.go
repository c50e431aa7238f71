package pool

import "time"

// cost sums what was paid and what was used of it.
type cost struct {
	at          time.Time
	hours, busy float64
}

// observe adds the time since the last call at the given need and count.
func (c *cost) observe(now time.Time, needed float64, count int) {
	if !c.at.IsZero() {
		elapsed := now.Sub(c.at).Hours()
		c.hours += elapsed * float64(count)
		c.busy += elapsed * min(needed, float64(count))
	}
	c.at = now
}

// busyPart is the part of the paid hours that work filled.
func (c *cost) busyPart() float64 {
	if c.hours == 0 {
		return 0
	}
	return c.busy / c.hours
}
