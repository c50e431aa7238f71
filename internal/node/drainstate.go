package node

import "sync/atomic"

// drainState reports on /readyz whether a process accepts new work.
type drainState struct {
	draining atomic.Bool
}

// start marks the process as draining, which makes it not ready.
func (d *drainState) start() { d.draining.Store(true) }

// Ready implements observe.Readiness.
func (d *drainState) Ready() (bool, string) {
	if d.draining.Load() {
		return false, "draining"
	}
	return true, ""
}
