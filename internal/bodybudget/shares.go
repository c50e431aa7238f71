package bodybudget

import "sync"

// Shares is a budget that several senders share. A sender may hold as many bytes as are
// free: dynamic thresholds after Choudhury and Hahne. One that sends without end gets half
// of the limit, n that do get 1/(n+1) of it each, and as much stays free for all others.
// It is safe for concurrent use.
type Shares struct {
	// limit is in bytes; 0 means no limit.
	limit int64

	mu       sync.Mutex // guards the fields below
	reserved int64
	held     map[string]int64
}

// NewShares returns a budget of limit bytes; 0 means no limit.
func NewShares(limit int64) *Shares { return &Shares{limit: limit, held: make(map[string]int64)} }

// Reserve reserves n bytes of the sender. It reports false and reserves nothing if the
// sender would hold more than is free.
func (s *Shares) Reserve(sender string, n int64) bool {
	if n <= 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held, reserved := s.held[sender]+n, s.reserved+n
	if s.limit > 0 && held > s.limit-reserved {
		return false
	}
	s.held[sender], s.reserved = held, reserved
	return true
}

// Release returns n reserved bytes of the sender.
func (s *Shares) Release(sender string, n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reserved -= n
	if s.held[sender] -= n; s.held[sender] <= 0 {
		delete(s.held, sender)
	}
}

// Reserved returns the bytes of all senders.
func (s *Shares) Reserved() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reserved
}
