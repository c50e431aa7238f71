package pool

import "time"

// costMeter accumulates paid and used endpoint hours.
type costMeter struct {
	observedAt           time.Time
	paidHours, busyHours float64
}

// observe adds the time since the last call, with needed as the number of
// endpoints that the demand fills and count as the number of paid endpoints.
func (c *costMeter) observe(now time.Time, needed float64, count int) {
	if !c.observedAt.IsZero() {
		elapsed := now.Sub(c.observedAt).Hours()
		c.paidHours += elapsed * float64(count)
		c.busyHours += elapsed * min(needed, float64(count))
	}
	c.observedAt = now
}

// utilisation returns the fraction of paid hours that were used, from 0 to 1.
func (c *costMeter) utilisation() float64 {
	if c.paidHours == 0 {
		return 0
	}
	return c.busyHours / c.paidHours
}
