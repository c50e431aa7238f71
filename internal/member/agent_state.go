package member

import (
	"time"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// directState is the state that this host received from an agent over its own
// session.
type directState struct {
	connected    bool
	lastReceived time.Time
	incarnation  string
	leaving      bool
	info         AgentInfo
	// differsSince is the time since which the table's record differs from
	// the agent's state; zero if they match.
	differsSince time.Time
}

// fresh reports whether the session is connected and the agent last sent a
// message within limit. It may be called on nil.
func (d *directState) fresh(limit time.Duration, now time.Time) bool {
	return d != nil && d.connected && now.Sub(d.lastReceived) < limit
}

// AgentStateReceived records an agent's state that this host received over its
// own session. It publishes the state if the table's record differs.
func (t *Table) AgentStateReceived(endpoint string, state *wire.AgentState, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.directStates[endpoint]
	if d == nil {
		if len(t.directStates) >= maxEndpoints {
			return
		}
		d = &directState{}
		t.directStates[endpoint] = d
	}
	d.connected = true
	d.lastReceived = now
	d.incarnation = state.GetIncarnation()
	d.leaving = state.GetDraining()
	d.info = agentInfo(state)
	t.publishDirectState(endpoint, d, now)
}

// HeartbeatReceived records an agent's heartbeat that carried no state.
func (t *Table) HeartbeatReceived(endpoint string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d := t.directStates[endpoint]; d != nil && d.connected {
		d.lastReceived = now
	}
}

// SessionLost records the end of this host's session with an agent.
func (t *Table) SessionLost(endpoint string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d := t.directStates[endpoint]; d != nil {
		d.connected = false
		d.differsSince = time.Time{}
	}
}

// publishDirectStates publishes the agent states received over this host's own
// sessions where the table differs, and suspects the watched endpoints that are
// silent unless this host is isolated. The caller holds mu.
func (t *Table) publishDirectStates(now time.Time) {
	for name, d := range t.directStates {
		t.publishDirectState(name, d, now)
		if now.Sub(d.lastReceived) > watchHandover {
			delete(t.directStates, name)
		}
	}
	if t.connectivity.isolated(t.cfg.Period, now) {
		return
	}
	for name, watch := range t.watch.byEndpoint {
		t.suspectIfSilent(name, watch, now)
	}
}

// publishDirectState publishes a record of the endpoint if the table differs
// from the agent's own state. The first watcher does so at once, other hosts
// after a delay. The caller holds mu.
func (t *Table) publishDirectState(name string, d *directState, now time.Time) {
	if !d.fresh(t.cfg.SuspectTimeout, now) || t.matchesTable(name, d) {
		d.differsSince = time.Time{}
		return
	}
	if d.differsSince.IsZero() {
		d.differsSince = now
	}
	if now.Sub(d.differsSince) < t.publishDelay(name) {
		return
	}
	d.differsSince = time.Time{}
	state := Live
	if d.leaving {
		state = Leaving
	}
	t.publish(&record{
		id: recordID(kindEndpoint, name), kind: kindEndpoint, name: name,
		incarnation: d.incarnation, state: state, info: d.info,
	}, now)
}

// matchesTable reports whether the table's record equals the agent's own state.
// The caller holds mu.
func (t *Table) matchesTable(name string, d *directState) bool {
	r := t.records[recordID(kindEndpoint, name)]
	if r == nil || r.state.suspectOrGone() {
		return false
	}
	return r.incarnation == d.incarnation && (r.state == Leaving) == d.leaving && r.info.equal(d.info)
}

// publishDelay returns how long this host leaves a change of the endpoint to be
// published by the watchers ranked before it. The caller holds mu.
func (t *Table) publishDelay(name string) time.Duration {
	if watch := t.watch.byEndpoint[name]; watch != nil && watch.rank >= 0 {
		return time.Duration(watch.rank) * watcherDelay
	}
	fraction := mix64(t.self.id^recordID(kindEndpoint, name)) >> 48
	return nonWatcherDelay + nonWatcherDelay*time.Duration(fraction)>>16
}

// suspectIfSilent suspects an endpoint that this host watches but has no fresh
// state from. The delay to the next suspicion doubles each time, since other
// hosts may reach the agent and refute it. The caller holds mu.
func (t *Table) suspectIfSilent(name string, watch *endpointWatch, now time.Time) {
	d := t.directStates[name]
	if watch.rank < 0 {
		return
	}
	if d.fresh(t.cfg.SuspectTimeout, now) {
		watch.backoff = 0
		return
	}
	lastReceived := watch.since
	if d != nil && d.lastReceived.After(lastReceived) {
		lastReceived = d.lastReceived
	}
	r := t.records[recordID(kindEndpoint, name)]
	if now.Sub(lastReceived) < t.cfg.SuspectTimeout || r != nil && r.state.suspectOrGone() || now.Before(watch.nextSuspicion) {
		return
	}
	watch.backoff = min(max(2*t.cfg.SuspectTimeout, 2*watch.backoff), maxSuspicionBackoff)
	watch.nextSuspicion = now.Add(watch.backoff)
	if r == nil {
		r = &record{id: recordID(kindEndpoint, name), kind: kindEndpoint, name: name}
		r.version = nextVersion(0, t.cfg.Name, now)
	}
	t.suspect(r, now)
}
