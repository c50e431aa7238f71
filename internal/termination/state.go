package termination

import (
	"context"
	"sync/atomic"
	"time"
)

// State is how far the stop of a process is. It is safe for concurrent use.
type State struct {
	plan            atomic.Pointer[Plan]
	closed, severed atomic.Bool

	interrupted context.Context
	interrupt   context.CancelFunc
}

// NewState returns the state of a process that runs.
func NewState() *State {
	s := &State{}
	s.interrupted, s.interrupt = context.WithCancel(context.Background())
	return s
}

// Begin starts the stop.
func (s *State) Begin(p Plan) { s.plan.Store(&p) }

// Stopping reports whether the process was told to stop.
func (s *State) Stopping() bool { return s.plan.Load() != nil }

// Close refuses all work from now on. Work that was counted as in progress before it asked
// MayBegin is either refused or seen by whoever waits for the count after Close.
func (s *State) Close() { s.closed.Store(true) }

// Refusal returns why the work may not begin now; see Plan.Refusal.
func (s *State) Refusal(now time.Time, w Work) Refusal {
	switch p := s.plan.Load(); {
	case p == nil:
		return Admitted
	case s.closed.Load():
		return RefusedClosed
	default:
		return p.Refusal(now, w)
	}
}

// MayBegin reports whether the work may begin now; see Plan.MayBegin.
func (s *State) MayBegin(now time.Time, w Work) bool { return s.Refusal(now, w) == Admitted }

// RefusalOfStep is Refusal for work that has begun: Close does not end it.
func (s *State) RefusalOfStep(now time.Time, w Work) Refusal {
	p := s.plan.Load()
	if p == nil {
		return Admitted
	}
	return p.Refusal(now, w)
}

// Interrupt ends all work in progress.
func (s *State) Interrupt() { s.interrupt() }

// Interrupted returns a context that is done once work in progress must end.
func (s *State) Interrupted() context.Context { return s.interrupted }

// Sever records that the process closes connections with requests in progress from now on.
func (s *State) Sever() { s.severed.Store(true) }

// Severed reports whether the process itself may have closed the connection of a request
// whose caller seems to have left.
func (s *State) Severed() bool { return s.severed.Load() }
