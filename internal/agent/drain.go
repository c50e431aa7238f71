package agent

import (
	"context"
	"time"
)

// drainPollInterval is the interval at which Drain checks the number of
// in-flight requests.
const drainPollInterval = 10 * time.Millisecond

// Drain starts refusing new requests and waits until no request is in flight,
// but at least for Options.LameDuck so that late requests are refused. It
// returns early when ctx ends. The result is the number of requests still in
// flight.
func (a *Agent) Drain(ctx context.Context) int {
	a.mu.Lock()
	a.draining = true
	a.mu.Unlock()
	a.notify()
	lameDuck := time.NewTimer(a.opts.LameDuck)
	defer lameDuck.Stop()
	select {
	case <-ctx.Done():
		return int(a.inFlight.Load())
	case <-lameDuck.C:
	}
	ticker := time.NewTicker(drainPollInterval)
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

// begin adds a request to the in-flight count, or returns the reason for its
// refusal if the agent is draining or full. It holds mu, as Drain does when it
// sets draining, so that no request can begin after Drain has seen none in
// flight.
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

// end removes a request from the in-flight count.
func (a *Agent) end() { a.inFlight.Add(-1) }
