package node

import "sync/atomic"

// drainState says on /readyz whether a process takes new work.
type drainState struct {
	draining atomic.Bool
}

// begin makes the process not ready.
func (d *drainState) begin() { d.draining.Store(true) }

// Ready implements observe.Readiness.
func (d *drainState) Ready() (bool, string) {
	if d.draining.Load() {
		return false, "draining"
	}
	return true, ""
}
