package gateway

import (
	"sync"
	"time"
)

const (
	// RetryBudgetShare is the share of the retry budget that is used. The rest
	// covers differences in the counts at the edges of sliding windows.
	RetryBudgetShare = 0.8
	// minSlackHosts is the least number of hosts among which the slack is divided, so that
	// hosts that do not know each other yet stay within it.
	minSlackHosts = 5
	// hostsMemory is the time for which hosts that left the directory still count. Entries
	// of hosts that live expire in an outage of the store.
	hostsMemory = time.Minute
)

// RetrySlack is this host's share of the retries that all hosts together may make in each
// window whatever the requests. It is safe for concurrent use.
type RetrySlack struct {
	total float64
	// from is when the retries of an earlier process of this host have left the window.
	from time.Time

	mu sync.Mutex // guards the fields below
	// current and previous are the largest numbers of hosts in two spans of hostsMemory.
	current, previous int
	rotated           time.Time
}

// NewRetrySlack returns the share of a process that starts now. first reports whether all
// hosts start for the first time: no earlier process of this host has made retries.
func NewRetrySlack(now time.Time, total float64, window time.Duration, first bool) *RetrySlack {
	from := now
	if !first {
		from = now.Add(window)
	}
	return &RetrySlack{total: total, from: from, rotated: now}
}

// At returns the share at a time, with the number of hosts that this one knows.
func (s *RetrySlack) At(now time.Time, hosts int) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if elapsed := now.Sub(s.rotated); elapsed >= hostsMemory {
		s.previous = s.current
		if elapsed >= 2*hostsMemory {
			s.previous = 0
		}
		s.current, s.rotated = 0, now
	}
	s.current = max(s.current, hosts)
	if now.Before(s.from) {
		return 0
	}
	return RetryBudgetShare * s.total / float64(max(minSlackHosts, s.current, s.previous))
}
