package kv

import "time"

// DelayWrites makes each write, with probability p, take effect only after d,
// while its caller gets backing.ErrUnknown immediately. This simulates a packet
// delayed in the network.
func (f *Faults) DelayWrites(p float64, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writeDelayRate, f.writeDelay = p, d
}

// nextWriteDelay returns the delay of the next write; zero means no delay.
func (f *Faults) nextWriteDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.writeDelayRate > 0 && f.random.Float64() < f.writeDelayRate {
		return f.writeDelay
	}
	return 0
}

// delayWrite decides whether the write is delayed. If so, it schedules apply and
// returns true.
func (c *Client) delayWrite(apply func(s *Store) error) bool {
	d := c.nextWriteDelay()
	if d == 0 && c.Faults != c.storeFaults {
		d = c.storeFaults.nextWriteDelay()
	}
	if d == 0 {
		return false
	}
	time.AfterFunc(d, func() {
		c.store.mu.Lock()
		defer c.store.mu.Unlock()
		c.store.counts.Lost++
		_ = apply(c.store) // the caller has already received ErrUnknown
	})
	return true
}
