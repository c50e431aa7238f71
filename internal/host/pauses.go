package host

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/leader"
	"github.com/acacialink/acacialink/internal/observe"
	"github.com/acacialink/acacialink/internal/placement"
)

// pauseStated sends nothing to an endpoint for the time that it stated. The pause is this
// host's own: an endpoint turns away whom it has too much of.
func (h *Host) pauseStated(e *endpoint.Endpoint, s endpoint.Statement) {
	if s.PauseErr != nil {
		h.statements.Add("invalid", 1)
		h.opts.Log.Info("endpoint stated an invalid pause", observe.FieldEndpoint, e.ID, observe.FieldError, s.PauseErr)
		return
	}
	if s.Pause <= 0 || !h.tracker.PauseStated(time.Now(), e, s.Pause) {
		return
	}
	h.statements.Add("paused", 1)
	h.opts.Log.Info("endpoint stated a pause", observe.FieldEndpoint, e.ID, "service", e.Service, "started_at_ms", e.StartedAtMS, "pause_ms", s.Pause)
}

// pausedEngines leaves engines alone that want nothing from this host for a time.
type pausedEngines struct {
	leader.Engines
	tracker *placement.Tracker
}

// EngineState implements leader.Engines.
func (p pausedEngines) EngineState(ctx context.Context, e *endpoint.Endpoint) (leader.EngineReport, error) {
	if left := p.tracker.Paused(time.Now(), e); left > 0 {
		return leader.EngineReport{}, errors.Wrapf(backing.ErrUnavailable, "the engine wants nothing for %v", left)
	}
	return p.Engines.EngineState(ctx, e)
}
