package host

import "time"

const (
	// minDrainDuration is the minimum time for which a draining host accepts new
	// connections: the load balancer removes it after two failed readiness checks,
	// one second apart.
	minDrainDuration = 3500 * time.Millisecond
	// shutdownReserve is the time at the end of the grace period that is reserved
	// for the shutdown after the drain.
	shutdownReserve = 800 * time.Millisecond
	// drainIdlePeriod is how long the host must have had no active requests before
	// the drain ends.
	drainIdlePeriod = 300 * time.Millisecond
	// drainPollInterval is the time between checks for active requests.
	drainPollInterval = 20 * time.Millisecond
)

// timeToExit returns the time until a draining process must exit; false means
// that the host is not draining.
func (h *Host) timeToExit() (time.Duration, bool) {
	deadline := h.exitDeadline.Load()
	if deadline == nil {
		return 0, false
	}
	return time.Until(*deadline), true
}

// drain waits until callers have moved to other hosts. Readiness checks fail from
// the start, each response asks the caller to close the connection, and active
// requests may complete within the grace period.
func (h *Host) drain() {
	started := time.Now()
	deadline := started.Add(h.opts.Settings.GracePeriod)
	h.exitDeadline.Store(&deadline)
	h.draining.Store(true)
	h.opts.Log.Info("draining", "requests", h.gateway.Active())
	lastActive := started
	for {
		now := time.Now()
		if h.gateway.Active() > 0 {
			lastActive = now
		}
		if now.Sub(started) >= h.opts.Settings.GracePeriod-shutdownReserve || now.Sub(started) >= minDrainDuration && now.Sub(lastActive) >= drainIdlePeriod {
			break
		}
		time.Sleep(drainPollInterval)
	}
	h.opts.Log.Info("drained", "requests", h.gateway.Active(), "duration_ms", time.Since(started))
}
