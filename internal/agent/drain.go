package agent

import (
	"context"
	"time"
)

// drainPoll is how often a drain looks at the requests in flight.
const drainPoll = 10 * time.Millisecond

// Drain refuses new work and returns once the running work has ended and late
// requests have had LameDuck time to be refused, or when ctx ends. It returns
// the number of requests still in flight.
func (a *Agent) Drain(ctx context.Context) int {
	a.mu.Lock()
	a.draining = true
	a.mu.Unlock()
	a.notify()
	lame := time.NewTimer(a.opts.LameDuck)
	defer lame.Stop()
	select {
	case <-ctx.Done():
		return int(a.inFlight.Load())
	case <-lame.C:
	}
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for a.inFlight.Load() > 0 {
		select {
		case <-ctx.Done():
			return int(a.inFlight.Load())
		case <-ticker.C:
		}
	}
	return 0
}

// begin counts a request in, unless the agent drains or is full. The answer
// is decided under the lock that Drain takes, so that no request begins after
// Drain has seen none in flight.
func (a *Agent) begin() (refusal string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining {
		return "draining"
	}
	if int(a.inFlight.Load()) >= a.opts.MaxInFlight {
		return "agent_full"
	}
	a.inFlight.Add(1)
	return ""
}

func (a *Agent) end() { a.inFlight.Add(-1) }
