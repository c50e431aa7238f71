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
}

// SetHosts sets the names of all hosts, self among them, and whether this host knows what
// the others send.
func (t *Tracker) SetHosts(self string, hosts []string, inTouch bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fleet = fleetView{self, hosts, inTouch}
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
// most 0 for now, and whether the endpoint states a rate. The caller holds mu.
func (t *Tracker) sendWait(now time.Time, e *endpoint.Endpoint) (wait time.Duration, limited bool) {
	wait, limited = t.paceWait(now, e)
	return max(wait, t.pauses[e.ID].Left(now, e.StartedAtMS)), limited
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

// arrived counts a request to an endpoint that states a rate. The caller holds mu.
func (t *Tracker) arrived(now time.Time, id string, own bool) {
	if p := t.paced[id]; p != nil {
		p.Arrived(now, own)
	}
}

// Called counts a call to an endpoint that is not a request of a caller, if the endpoint
// states a rate.
func (t *Tracker) Called(now time.Time, e *endpoint.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.paced[e.ID] != nil {
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

// rateCost is the cost of a request to an endpoint that gets as many as it states, if it
// states one a second. At higher rates the cost is lower in proportion, and it grows with
// the square of the requests.
const rateCost = 500 * time.Millisecond

// paceCost returns the cost of one request of the rate that an engine states. The caller
// holds mu.
func (t *Tracker) paceCost(now time.Time, e *endpoint.Endpoint, limited bool) time.Duration {
	if !limited {
		return 0
	}
	p := t.paced[e.ID]
	excess := p.Excess(now)
	return time.Duration(float64(rateCost) / p.Statement().PerSecond * excess * excess)
}
