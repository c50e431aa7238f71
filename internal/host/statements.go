package host

import (
	"time"

	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/observe"
)

// StatementSource is a sender that reads what endpoints state about themselves in their
// answers.
type StatementSource interface {
	// OnStatement sets what is called with the statement of each answer.
	OnStatement(stated func(e *endpoint.Endpoint, s endpoint.Statement))
}

// endpointStated records what an endpoint stated in an answer.
func (h *Host) endpointStated(e *endpoint.Endpoint, s endpoint.Statement) {
	h.rateStated(e, s)
	h.leavingStated(e, s)
	h.pauseStated(e, s)
	h.loadStated(e, s)
}

// loadStated records what an endpoint stated of its load. Peers hear of slow ones with the next
// exchange.
func (h *Host) loadStated(e *endpoint.Endpoint, s endpoint.Statement) {
	if s.LoadErr != nil {
		h.statements.Add("invalid", 1)
		h.opts.Log.Debug("endpoint stated an invalid load", observe.FieldEndpoint, e.ID, observe.FieldError, s.LoadErr)
		return
	}
	if s.Load == nil || !h.tracker.LoadStated(time.Now(), e, *s.Load) {
		return
	}
	label := "slow"
	if s.Load.Slowness <= 1 {
		label = "no_longer_slow"
	}
	h.statements.Add(label, 1)
	h.opts.Log.Debug("endpoint stated how long work takes", observe.FieldEndpoint, e.ID, "slowness", s.Load.Slowness)
}

// leavingStated stops sending to an endpoint that stated that it leaves. Its entry in the
// registry may say so later, or not while the store is out of reach.
func (h *Host) leavingStated(e *endpoint.Endpoint, s endpoint.Statement) {
	if s.LeavingErr != nil {
		h.statements.Add("invalid", 1)
		h.opts.Log.Debug("endpoint stated in an invalid way that it leaves", observe.FieldEndpoint, e.ID, observe.FieldError, s.LeavingErr)
		return
	}
	if !s.Leaving {
		return
	}
	change := h.endpoints.Leave(time.Now(), e.Key())
	if len(change.Removed) == 0 {
		return
	}
	h.statements.Add("leaving", 1)
	h.opts.Log.Info("endpoint stated that it leaves", observe.FieldEndpoint, e.ID, "service", e.Service, "started_at_ms", e.StartedAtMS)
	h.tracker.Departed(time.Now(), e)
	h.endpointsChanged(change)
	h.group.TriggerExchange()
}
