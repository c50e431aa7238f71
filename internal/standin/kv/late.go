package kv

import "time"

// DelayWrites lets each write, with probability p, take effect only d after
// its caller got backing.ErrUnknown, as a packet that was held up on its way.
func (f *Faults) DelayWrites(p float64, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lateRate, f.lateBy = p, d
}

// lateness returns by how much the next write is held up; zero: not at all.
func (f *Faults) lateness() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lateRate > 0 && f.random.Float64() < f.lateRate {
		return f.lateBy
	}
	return 0
}

// actsLate decides whether a write is held up and lets it act later.
func (c *Client) actsLate(act func(s *Store) error) bool {
	d := c.lateness()
	if d == 0 && c.Faults != c.shared {
		d = c.shared.lateness()
	}
	if d == 0 {
		return false
	}
	time.AfterFunc(d, func() {
		c.store.mu.Lock()
		defer c.store.mu.Unlock()
		c.store.counts.Lost++
		_ = act(c.store) // nobody waits for the outcome
	})
	return true
}
