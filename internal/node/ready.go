package node

import "github.com/acacialink/acacialink/internal/verdict"

// Ready implements observe.Readiness: an entry host takes callers while it may
// use its configuration and is connected to an endpoint.
func (e *Entry) Ready() (bool, string) {
	if ready, reason := e.draining.Ready(); !ready {
		return false, reason
	}
	if e.members.Superseded() {
		return false, "a newer process of this name has replaced this one"
	}
	view, err := e.config.Use()
	if err != nil {
		return false, verdict.As(err).Code
	}
	if len(view.Endpoints()) > 0 && len(e.fleet.States()) == 0 {
		return false, "no endpoint is connected"
	}
	if !e.begun.Load() && !e.slots.Complete() {
		return false, "quota shards have no owner yet"
	}
	e.begun.Store(true)
	return true, ""
}
