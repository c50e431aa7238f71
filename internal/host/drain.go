package host

import "time"

const (
	// drainMin is how long a draining host takes new connections: the balancer
	// needs two readiness checks, a second apart, to leave it out.
	drainMin = 3500 * time.Millisecond
	// drainReserve is the part of the grace that is left for the end itself.
	drainReserve = 800 * time.Millisecond
	// drainQuiet is how long no request must have been served before the end.
	drainQuiet = 300 * time.Millisecond
	drainLook  = 20 * time.Millisecond
)

// ending is the time left to a process that drains.
func (h *Host) ending() (time.Duration, bool) {
	ends := h.ends.Load()
	if ends == nil {
		return 0, false
	}
	return time.Until(*ends), true
}

// drain lets callers go: not ready at once, every answer asks to close the
// connection, and what runs may end within the grace.
func (h *Host) drain() {
	begun := time.Now()
	ends := begun.Add(h.o.Settings.Grace)
	h.ends.Store(&ends)
	h.draining.Store(true)
	h.o.Log.Info("draining", "requests", h.gateway.Active())
	quiet := begun
	for {
		now := time.Now()
		if h.gateway.Active() > 0 {
			quiet = now
		}
		if now.Sub(begun) >= h.o.Settings.Grace-drainReserve || now.Sub(begun) >= drainMin && now.Sub(quiet) >= drainQuiet {
			break
		}
		time.Sleep(drainLook)
	}
	h.o.Log.Info("drained", "requests", h.gateway.Active(), "duration_ms", time.Since(begun))
}
