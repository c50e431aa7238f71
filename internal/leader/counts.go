// Package leader runs the leader tasks: it reports usage and balances the stages
// of the engines. One host at a time, the leader, runs them for all hosts under
// a lease of the store. It sends the fencing token of that lease with each stage
// order and each usage report.
package leader

import (
	"sync"
	"time"
)

// Counts maps a workspace to its number of requests.
type Counts map[string]int64

// Counter counts started requests per workspace and window of true time. It is
// safe for concurrent use.
type Counter struct {
	window time.Duration
	now    func() time.Time

	mu sync.Mutex
	// own holds the counts of this process by window. Guarded by mu.
	own map[int64]Counts
	// received holds the counts of peers by incarnation and window. Guarded by mu.
	received map[string]map[int64]Counts
}

// retainedWindows is the number of past windows whose counts are retained. A
// report is due within two window lengths after the end of its window.
const retainedWindows = 8

// NewCounter returns a Counter with windows of the given length.
func NewCounter(window time.Duration, now func() time.Time) *Counter {
	return &Counter{window: window, now: now, own: make(map[int64]Counts), received: make(map[string]map[int64]Counts)}
}

// Window returns the index of the window that contains t. Window k starts k
// window lengths after the Unix epoch.
func (c *Counter) Window(t time.Time) int64 { return t.UnixNano() / int64(c.window) }

// CurrentWindow returns the index of the current window.
func (c *Counter) CurrentWindow() int64 { return c.Window(c.now()) }

// RecordStart counts a request in the current window. The gateway calls it once per
// request, after the endpoint has started to respond.
func (c *Counter) RecordStart(workspace string) {
	window := c.CurrentWindow()
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.own[window]
	if counts == nil {
		counts = make(Counts)
		c.own[window] = counts
		for old := range c.own {
			if old < window-retainedWindows {
				delete(c.own, old)
			}
		}
	}
	counts[workspace]++
}

// CountsFor returns a copy of the recent counts of this process, under self, and of the
// given incarnations of peers, by incarnation and window.
func (c *Counter) CountsFor(self string, peers []string) map[string]map[int64]map[string]int64 {
	oldest := c.CurrentWindow() - retainedWindows/2
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]map[int64]map[string]int64, len(peers)+1)
	add := func(incarnation string, windows map[int64]Counts) {
		for window, counts := range windows {
			if window < oldest {
				continue
			}
			if out[incarnation] == nil {
				out[incarnation] = make(map[int64]map[string]int64)
			}
			out[incarnation][window] = counts.clone()
		}
	}
	add(self, c.own)
	for _, incarnation := range peers {
		add(incarnation, c.received[incarnation])
	}
	return out
}

// RecentWindows returns the set of recent windows that have counts of any host.
func (c *Counter) RecentWindows() map[int64]bool {
	oldest := c.CurrentWindow() - retainedWindows/2
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[int64]bool)
	for window := range c.own {
		out[window] = window >= oldest
	}
	for _, byWindow := range c.received {
		for window := range byWindow {
			out[window] = window >= oldest
		}
	}
	for window, recent := range out {
		if !recent {
			delete(out, window)
		}
	}
	return out
}

// MergePeer merges the counts of an incarnation of a peer. Counts never
// decrease, so messages may arrive late or more than once.
func (c *Counter) MergePeer(incarnation string, windows map[int64]map[string]int64) {
	oldest := c.CurrentWindow() - retainedWindows
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.received[incarnation]
	if known == nil {
		known = make(map[int64]Counts)
		c.received[incarnation] = known
	}
	for window, counts := range windows {
		known[window] = known[window].max(counts)
	}
	for window := range known {
		if window < oldest {
			delete(known, window)
		}
	}
	for inc, byWindow := range c.received {
		if len(byWindow) == 0 && inc != incarnation {
			delete(c.received, inc)
		}
	}
}

// CountsByIncarnation returns a copy of all counts of a window by incarnation.
// The counts of this process are under self.
func (c *Counter) CountsByIncarnation(self string, window int64) map[string]Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]Counts)
	if counts := c.own[window]; counts != nil {
		out[self] = counts.clone()
	}
	for inc, byWindow := range c.received {
		if counts := byWindow[window]; counts != nil {
			out[inc] = counts.clone()
		}
	}
	return out
}

func (c Counts) clone() Counts {
	out := make(Counts, len(c))
	for name, n := range c {
		out[name] = n
	}
	return out
}

// max returns the larger count of each workspace.
func (c Counts) max(other Counts) Counts {
	out := c.clone()
	for name, n := range other {
		out[name] = max(out[name], n)
	}
	return out
}

// sum returns the total over all incarnations by workspace.
func sum(all map[string]Counts) Counts {
	out := make(Counts)
	for _, c := range all {
		for name, n := range c {
			out[name] += n
		}
	}
	return out
}
