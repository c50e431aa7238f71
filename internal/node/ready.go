package node

import "github.com/acacialink/acacialink/internal/verdict"

// Ready implements observe.Readiness. An entry host is ready while its configuration is
// recent enough to use and, if endpoints are configured, at least one is connected. At
// startup it also waits until all quota shards have an owner.
func (e *Entry) Ready() (bool, string) {
	if ready, reason := e.draining.Ready(); !ready {
		return false, reason
	}
	if e.members.Superseded() {
		return false, "a newer process of this name has replaced this one"
	}
	view, err := e.config.FreshView()
	if err != nil {
		return false, verdict.As(err).Code
	}
	if len(view.Endpoints()) > 0 && len(e.fleet.States()) == 0 {
		return false, "no endpoint is connected"
	}
	if !e.hasBeenReady.Load() && !e.slots.AllOwned() {
		return false, "quota shards have no owner yet"
	}
	e.hasBeenReady.Store(true)
	return true, ""
}
