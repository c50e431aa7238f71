package host

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/acacialink/acacialink/internal/httpdrain"
	"github.com/acacialink/acacialink/internal/termination"
)

const (
	// minDrainDuration is the minimum time for which a draining host accepts new
	// connections: the load balancer removes it after two failed readiness checks,
	// one second apart.
	minDrainDuration = 3500 * time.Millisecond
	// drainPollInterval is the time between checks for active requests.
	drainPollInterval = 20 * time.Millisecond
)

// drain waits until callers have moved to other hosts and no request is in progress, or
// until active requests must end. It does not wait for silence: a host that has nothing to
// finish would only refuse what still comes, and a closed listener sends callers on sooner.
// Readiness checks fail from the start, and each response asks the caller to close the
// connection.
func (h *Host) drain(open *httpdrain.Tracker) termination.Plan {
	told := time.Now()
	late := h.delays.Current()
	h.beginStop(open, told.Add(-late))
	// By then the delay with which the stop itself was learned of is sampled.
	time.Sleep(delaySampleInterval)
	plan := h.beginStop(open, told.Add(-max(late, h.delays.Current())))
	h.opts.Log.Info("draining", "requests", h.gateway.Active(), "end_ms", plan.End.Sub(plan.Began))
	for now := time.Now(); now.Before(plan.End); now = time.Now() {
		if now.Sub(told) >= minDrainDuration && h.gateway.Active() == 0 {
			break
		}
		time.Sleep(drainPollInterval)
	}
	h.opts.Log.Info("drained", "requests", h.gateway.Active(), "duration_ms", time.Since(plan.Began))
	return plan
}

// beginStop starts the stop that was ordered at the given time, and returns its plan.
func (h *Host) beginStop(open *httpdrain.Tracker, ordered time.Time) termination.Plan {
	plan := termination.NewPlan(ordered, h.opts.Settings.GracePeriod)
	h.termination.Begin(plan)
	open.DeliverUntil(plan.Close)
	return plan
}

// awaitExit waits for the background tasks, whose last calls to the store may hang, at most
// until the given time.
func awaitExit(wait func(), exit time.Time) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		wait()
	}()
	select {
	case <-ended:
	case <-time.After(time.Until(exit)):
	}
}

// shutDown ends the server of callers by the plan; see httpdrain.Tracker.ShutDown.
func (h *Host) shutDown(server *http.Server, l net.Listener, open *httpdrain.Tracker, plan termination.Plan) error {
	h.opts.Log.Info("refusing requests", "requests", h.gateway.Active(), "duration_ms", time.Since(plan.Began))
	cut, err := open.ShutDown(context.Background(), server, l, h.termination, plan)
	h.opts.Log.Info("closing connections", "cut", cut, "requests", h.gateway.Active(), "duration_ms", time.Since(plan.Began))
	return err
}
