package member

import (
	"time"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// direct is what this host heard from an agent itself, over its own session.
type direct struct {
	connected   bool
	heard       time.Time
	incarnation string
	leaving     bool
	word        Word
	// pending is since when the table says something else; zero when it
	// does not.
	pending time.Time
}

// fresh says whether the agent's own word still counts.
func (d *direct) fresh(limit time.Duration, now time.Time) bool {
	return d != nil && d.connected && now.Sub(d.heard) < limit
}

// Observe takes up an agent's state that came over this host's own session.
func (t *Table) Observe(endpoint string, state *wire.AgentState, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.direct[endpoint]
	if d == nil {
		if len(t.direct) >= maxEndpoints {
			return
		}
		d = &direct{}
		t.direct[endpoint] = d
	}
	d.connected = true
	d.heard = now
	d.incarnation = state.GetIncarnation()
	d.leaving = state.GetDraining()
	d.word = wordOf(state)
	t.speakOf(endpoint, d, now)
}

// Heard takes up a heartbeat of an agent without a state.
func (t *Table) Heard(endpoint string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d := t.direct[endpoint]; d != nil && d.connected {
		d.heard = now
	}
}

// Lost takes up that this host's session with an agent ended.
func (t *Table) Lost(endpoint string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d := t.direct[endpoint]; d != nil {
		d.connected = false
		d.pending = time.Time{}
	}
}

// speak spreads what this host knows of endpoints at first hand: changes, and
// the silence of those that it watches. The caller holds mu.
func (t *Table) speak(now time.Time) {
	for name, d := range t.direct {
		t.speakOf(name, d, now)
		if now.Sub(d.heard) > unwatch {
			delete(t.direct, name)
		}
	}
	if t.reach.isolated(t.cfg.Period, now) {
		return
	}
	for name, duty := range t.watch.held {
		t.speakOfSilence(name, duty, now)
	}
}

// speakOf authors a record when the table differs from the agent's own word.
// The first watcher does so at once, the others leave it time. The caller
// holds mu.
func (t *Table) speakOf(name string, d *direct, now time.Time) {
	if !d.fresh(t.cfg.Suspect, now) || t.agrees(name, d) {
		d.pending = time.Time{}
		return
	}
	if d.pending.IsZero() {
		d.pending = now
	}
	if now.Sub(d.pending) < t.speakDelay(name) {
		return
	}
	d.pending = time.Time{}
	state := Live
	if d.leaving {
		state = Leaving
	}
	t.author(&record{
		id: hashName(kindEndpoint, name), kind: kindEndpoint, name: name,
		incarnation: d.incarnation, state: state, word: d.word,
	}, now)
}

// agrees says whether the table holds the agent's own word. The caller holds mu.
func (t *Table) agrees(name string, d *direct) bool {
	r := t.records[hashName(kindEndpoint, name)]
	if r == nil || r.state.silent() {
		return false
	}
	return r.incarnation == d.incarnation && (r.state == Leaving) == d.leaving && r.word.equal(d.word)
}

// speakDelay returns how long this host leaves the word to others. The caller
// holds mu.
func (t *Table) speakDelay(name string) time.Duration {
	if duty := t.watch.held[name]; duty != nil && duty.rank >= 0 {
		return time.Duration(duty.rank) * authorDelay
	}
	share := mix(t.self.id^hashName(kindEndpoint, name)) >> 48
	return bystanderDelay + bystanderDelay*time.Duration(share)>>16
}

// speakOfSilence suspects an endpoint that this host watches and does not
// hear. When others that hear it refute this, it waits longer each time. The
// caller holds mu.
func (t *Table) speakOfSilence(name string, duty *watchDuty, now time.Time) {
	d := t.direct[name]
	if duty.rank < 0 {
		return
	}
	if d.fresh(t.cfg.Suspect, now) {
		duty.hold = 0
		return
	}
	last := duty.since
	if d != nil && d.heard.After(last) {
		last = d.heard
	}
	r := t.records[hashName(kindEndpoint, name)]
	if now.Sub(last) < t.cfg.Suspect || r != nil && r.state.silent() || now.Before(duty.quiet) {
		return
	}
	duty.hold = min(max(2*t.cfg.Suspect, 2*duty.hold), maxHold)
	duty.quiet = now.Add(duty.hold)
	if r == nil {
		r = &record{id: hashName(kindEndpoint, name), kind: kindEndpoint, name: name}
		r.version = nextVersion(0, t.cfg.Name, now)
	}
	t.suspect(r, now)
}
