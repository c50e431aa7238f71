// Package duty does what one host at a time does for all: it reports usage and
// keeps the engines' stages in balance, under a lease of the store and with
// its fencing number.
package duty

import (
	"sync"
	"time"
)

// Counts are requests by workspace.
type Counts map[string]int64

// Counter counts the requests that begin to run, by window of true time. It is
// safe for concurrent use.
type Counter struct {
	window time.Duration
	now    func() time.Time

	mu sync.Mutex
	// own are this process's counts; heard those of each incarnation of a peer.
	own   map[int64]Counts
	heard map[string]map[int64]Counts
}

// keptWindows is how many windows are remembered: a report is due within two
// window lengths after the window's end.
const keptWindows = 8

// NewCounter returns a counter of windows of the given length.
func NewCounter(window time.Duration, now func() time.Time) *Counter {
	return &Counter{window: window, now: now, own: make(map[int64]Counts), heard: make(map[string]map[int64]Counts)}
}

// Window is the window of a moment; window k begins k lengths after 1970.
func (c *Counter) Window(t time.Time) int64 { return t.UnixNano() / int64(c.window) }

// Current is the window of now.
func (c *Counter) Current() int64 { return c.Window(c.now()) }

// Began counts a request whose first event came now.
func (c *Counter) Began(workspace string) {
	k := c.Current()
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.own[k]
	if w == nil {
		w = make(Counts)
		c.own[k] = w
		for old := range c.own {
			if old < k-keptWindows {
				delete(c.own, old)
			}
		}
	}
	w[workspace]++
}

// Own returns this process's counts of the newest windows.
func (c *Counter) Own() map[int64]map[string]int64 {
	oldest := c.Current() - keptWindows/2
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[int64]map[string]int64)
	for k, w := range c.own {
		if k >= oldest {
			out[k] = w.clone()
		}
	}
	return out
}

// Recent returns the newest windows in which anything was counted.
func (c *Counter) Recent() map[int64]bool {
	oldest := c.Current() - keptWindows/2
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[int64]bool)
	for k := range c.own {
		out[k] = k >= oldest
	}
	for _, ws := range c.heard {
		for k := range ws {
			out[k] = k >= oldest
		}
	}
	for k, recent := range out {
		if !recent {
			delete(out, k)
		}
	}
	return out
}

// Peer takes the counts of an incarnation of a peer; counts only grow.
func (c *Counter) Peer(incarnation string, windows map[int64]map[string]int64) {
	oldest := c.Current() - keptWindows
	c.mu.Lock()
	defer c.mu.Unlock()
	mine := c.heard[incarnation]
	if mine == nil {
		mine = make(map[int64]Counts)
		c.heard[incarnation] = mine
	}
	for k, w := range windows {
		mine[k] = mine[k].max(w)
	}
	for k := range mine {
		if k < oldest {
			delete(mine, k)
		}
	}
	for inc, ws := range c.heard {
		if len(ws) == 0 && inc != incarnation {
			delete(c.heard, inc)
		}
	}
}

// Known returns what is known of a window, by incarnation.
func (c *Counter) Known(self string, k int64) map[string]Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]Counts)
	if w := c.own[k]; w != nil {
		out[self] = w.clone()
	}
	for inc, ws := range c.heard {
		if w := ws[k]; w != nil {
			out[inc] = w.clone()
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

// max is the larger count of each workspace.
func (c Counts) max(o Counts) Counts {
	out := c.clone()
	for name, n := range o {
		out[name] = max(out[name], n)
	}
	return out
}

// sum adds the counts of all incarnations.
func sum(all map[string]Counts) Counts {
	out := make(Counts)
	for _, c := range all {
		for name, n := range c {
			out[name] += n
		}
	}
	return out
}
