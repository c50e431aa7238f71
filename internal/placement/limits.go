package placement

import (
	"time"

	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/pace"
)

// maxPaced bounds the endpoints whose stated rates are kept.
const maxPaced = 4096

// fleetView is what the tracker knows of the hosts that share endpoints.
type fleetView struct {
	self    string
	hosts   []string
	inTouch bool
	// since is when hosts were first listed. recent holds the hosts listed within hostMemory,
	// and listed when each last was.
	since  time.Time
	recent []string
	listed map[string]time.Time
}

// update replaces the hosts that are listed now.
func (v *fleetView) update(now time.Time, self string, hosts []string, inTouch bool) {
	if v.listed == nil {
		v.since, v.listed = now, make(map[string]time.Time)
	}
	v.self, v.hosts, v.inTouch = self, hosts, inTouch
	for _, host := range hosts {
		v.listed[host] = now
	}
	v.recent = v.recent[:0]
	for host, at := range v.listed {
		if now.Sub(at) > hostMemory {
			delete(v.listed, host)
			continue
		}
		v.recent = append(v.recent, host)
	}
}

// SetHosts sets the names of all hosts, self among them, and whether this host knows what
// the others send.
func (t *Tracker) SetHosts(now time.Time, self string, hosts []string, inTouch bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fleet.update(now, self, hosts, inTouch)
}

// Stated records what an endpoint stated in an answer: the requests a second that it takes
// from all hosts together, or 0 if it stated no rate. It returns whether that is new.
func (t *Tracker) Stated(now time.Time, e *endpoint.Endpoint, perSecond float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paced[e.ID]
	if perSecond == 0 && (p == nil || p.Statement().PerSecond == 0) {
		return false
	}
	before := 0.0
	if p != nil {
		before = p.Statement().PerSecond
	}
	t.state(now, e.ID, pace.Statement{StartedAtMS: e.StartedAtMS, PerSecond: perSecond, At: now})
	return before != perSecond
}

// state applies a statement, of an endpoint or from a peer. The caller holds mu.
func (t *Tracker) state(now time.Time, id string, s pace.Statement) {
	p := t.paced[id]
	if p != nil && p.Statement().StartedAtMS == s.StartedAtMS {
		p.State(s)
		return
	}
	if p != nil && s.StartedAtMS < p.Statement().StartedAtMS {
		return
	}
	if len(t.paced) >= maxPaced {
		for known, old := range t.paced {
			if old.Expired(now) {
				delete(t.paced, known)
			}
		}
	}
	if len(t.paced) < maxPaced {
		t.paced[id] = pace.New(now, s)
	}
}

// Statements returns what endpoints stated about their rates, by endpoint ID.
func (t *Tracker) Statements(now time.Time) map[string]pace.Statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out map[string]pace.Statement
	for id, p := range t.paced {
		if p.Expired(now) {
			delete(t.paced, id)
			continue
		}
		if out == nil {
			out = make(map[string]pace.Statement)
		}
		out[id] = p.Statement()
	}
	return out
}

// AddStatements applies what a peer reports that endpoints stated.
func (t *Tracker) AddStatements(now time.Time, statements map[string]pace.Statement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range statements {
		t.state(now, id, s)
	}
}

// sendWait returns the time after which this host may send a request to an endpoint, at
// most 0 for now, and whether the endpoint states a rate or is cold. The caller holds mu.
func (t *Tracker) sendWait(now time.Time, e *endpoint.Endpoint) (wait time.Duration, limited bool) {
	wait, limited = t.paceWait(now, e)
	coldWait, cold := t.coldWait(now, e)
	return max(wait, coldWait, t.pauses[e.ID].Left(now, e.StartedAtMS)), limited || cold
}

// paceWait is sendWait by the endpoint's rate alone. The caller holds mu.
func (t *Tracker) paceWait(now time.Time, e *endpoint.Endpoint) (wait time.Duration, limited bool) {
	p := t.paced[e.ID]
	if p == nil || p.Statement().StartedAtMS != e.StartedAtMS || !p.Limits(now) {
		return 0, false
	}
	sharers := pace.Sharers(p.Statement().PerSecond, len(t.fleet.hosts))
	return p.Wait(now, pace.Share{Sharers: sharers, Rank: pace.Rank(e.ID, t.fleet.self, t.fleet.hosts), InTouch: t.fleet.inTouch}), true
}

// arrived counts a request to an endpoint that states a rate or may be cold. The caller
// holds mu.
func (t *Tracker) arrived(now time.Time, id string, own bool) {
	if p := t.paced[id]; p != nil {
		p.Arrived(now, own)
	}
	if c := t.cold[id]; c != nil {
		c.Arrived(now, own)
	}
	if s, ok := t.starts[id]; ok {
		s.pace.Arrived(now, own)
	}
}

// counted reports whether the requests to an endpoint are counted over all hosts, whatever
// they add to its cache. The caller holds mu.
func (t *Tracker) counted(e *endpoint.Endpoint) bool {
	_, started := t.starts[e.ID]
	return started || t.coldCounts(e) != nil || t.paced[e.ID] != nil
}

// Called counts a call to an endpoint that is not a request of a caller, if the endpoint's
// requests are counted.
func (t *Tracker) Called(now time.Time, e *endpoint.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counted(e) {
		t.recordDispatch(now, t.engineState(e), DispatchRecord{Engine: e.ID})
	}
}

// SendWait returns the shortest time after which an endpoint that states a rate or a pause
// takes a request from this host, and whether a pause decides it; 0 if none states any.
func (t *Tracker) SendWait(now time.Time, endpoints []*endpoint.Endpoint, exclude map[string]bool) (shortest time.Duration, paused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range endpoints {
		if exclude[e.ID] {
			continue
		}
		wait, limited := t.sendWait(now, e)
		if (limited || wait > 0) && (shortest == 0 || wait < shortest) {
			shortest = max(wait, time.Millisecond)
			paused = wait > 0 && wait == t.pauses[e.ID].Left(now, e.StartedAtMS)
		}
	}
	return shortest, paused
}

// costAtRate is the cost of a request to an endpoint that gets as many as it states, if it
// states one a second. At higher rates the cost is lower in proportion, and it grows with
// the square of the requests.
const costAtRate = 500 * time.Millisecond

// paceCost returns the cost of one request of those that an engine takes, by the rate that it
// states or while it is cold. The caller holds mu.
func (t *Tracker) paceCost(now time.Time, e *endpoint.Endpoint, limited bool) time.Duration {
	if !limited {
		return 0
	}
	return t.rateCost(now, e) + t.coldCost(now, e)
}

// rateCost is paceCost by the engine's rate alone. The caller holds mu.
func (t *Tracker) rateCost(now time.Time, e *endpoint.Endpoint) time.Duration {
	p := t.paced[e.ID]
	if p == nil || p.Statement().StartedAtMS != e.StartedAtMS || !p.Limits(now) {
		return 0
	}
	excess := p.Excess(now)
	return time.Duration(float64(costAtRate) / p.Statement().PerSecond * excess * excess)
}
