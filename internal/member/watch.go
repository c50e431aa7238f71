package member

import (
	"slices"
	"time"
)

// watchSet is the set of endpoints that this host watches.
type watchSet struct {
	// dirty is true when members or endpoints changed since the last
	// distribution.
	dirty bool
	last  time.Time
	// held maps endpoints to this host's watches.
	held map[string]*watchDuty
}

// watchDuty is the watch of one endpoint.
type watchDuty struct {
	// rank is this host's place among the watchers; -1 once others took over.
	rank int
	// since is when the watch began.
	since time.Time
	// until is when the watch ends if rank is -1.
	until time.Time
	// quiet is until when this host does not suspect the endpoint again, and
	// hold the wait that led to it.
	quiet time.Time
	hold  time.Duration
}

// SetEndpoints tells the table what the configuration says of endpoints.
func (t *Table) SetEndpoints(list []EndpointRef) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endpoints = make(map[string]EndpointRef, len(list))
	for _, e := range list[:min(len(list), maxEndpoints)] {
		t.endpoints[e.Name] = e
	}
	t.watch.dirty = true
}

// Watches returns the endpoints, by name, to whose agents this host keeps a
// session so that their state is known.
func (t *Table) Watches() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := make([]string, 0, len(t.watch.held))
	for name := range t.watch.held {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// rewatch distributes the watches anew when something changed. The caller
// holds mu.
func (t *Table) rewatch(now time.Time) {
	due := t.watch.dirty && now.Sub(t.watch.last) >= rewatch
	if due {
		t.distribute(now)
	}
	for name, duty := range t.watch.held {
		if duty.rank < 0 && !now.Before(duty.until) {
			delete(t.watch.held, name)
		}
	}
}

// distribute computes this host's rank for each endpoint. The caller holds mu.
func (t *Table) distribute(now time.Time) {
	t.watch.dirty = false
	t.watch.last = now
	held := make(map[string]*watchDuty, len(t.watch.held))
	byDomain, all := t.candidates()
	for name, e := range t.endpoints {
		local := byDomain[e.Domain]
		rank := watchRank(e, local, othersOf(all, local, e.Domain, t.cfg.Watchers), t.cfg.Watchers)
		if duty := t.duty(name, rank, now); duty != nil {
			held[name] = duty
		}
	}
	t.watch.held = held
}

// candidates returns the hosts that may watch. The caller holds mu.
func (t *Table) candidates() (map[string][]candidate, []candidate) {
	byDomain := make(map[string][]candidate)
	var all []candidate
	for _, r := range t.sortedMembers() {
		if r.state != Live && r.state != Suspect {
			continue
		}
		c := candidate{id: r.id, domain: r.domain, self: r == t.self}
		byDomain[r.domain] = append(byDomain[r.domain], c)
		all = append(all, c)
	}
	return byDomain, all
}

// othersOf returns the candidates outside of a domain, or nothing when those
// within it suffice.
func othersOf(all, local []candidate, domain string, watchers int) []candidate {
	if len(local) >= watchers {
		return nil
	}
	others := make([]candidate, 0, len(all))
	for _, c := range all {
		if c.domain != domain {
			others = append(others, c)
		}
	}
	return others
}

// duty returns this host's watch of an endpoint, or nil. A watch that passed
// to others goes on for a while, since membership may be about to turn back.
// The caller holds mu.
func (t *Table) duty(name string, rank int, now time.Time) *watchDuty {
	old := t.watch.held[name]
	switch {
	case old == nil && rank < 0:
		return nil
	case old == nil:
		return &watchDuty{rank: rank, since: now}
	case rank < 0 && old.rank >= 0:
		old.rank = -1
		old.until = now.Add(unwatch)
	case rank >= 0:
		old.rank = rank
	}
	return old
}
