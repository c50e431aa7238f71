package member

import (
	"slices"
	"time"
)

// watchSet is the set of endpoints that this host watches.
type watchSet struct {
	// dirty is set when members or endpoints changed since the last
	// assignment.
	dirty        bool
	lastAssigned time.Time
	// byEndpoint maps endpoint names to this host's watches.
	byEndpoint map[string]*endpointWatch
}

// endpointWatch is this host's watch of one endpoint.
type endpointWatch struct {
	// rank is this host's rank among the watchers; -1 once others took over.
	rank int
	// since is the time at which the watch began.
	since time.Time
	// end is the time at which the watch ends if rank is -1.
	end time.Time
	// nextSuspicion is the earliest time at which this host suspects the
	// endpoint again.
	nextSuspicion time.Time
	// backoff is the delay that led to nextSuspicion.
	backoff time.Duration
}

// SetEndpoints replaces the configured endpoints. Those beyond maxEndpoints are
// ignored.
func (t *Table) SetEndpoints(list []EndpointRef) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endpoints = make(map[string]EndpointRef, len(list))
	for _, e := range list[:min(len(list), maxEndpoints)] {
		t.endpoints[e.Name] = e
	}
	t.watch.dirty = true
}

// Watches returns the sorted names of the endpoints that this host watches. The
// host keeps a session to the agent of each.
func (t *Table) Watches() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := make([]string, 0, len(t.watch.byEndpoint))
	for name := range t.watch.byEndpoint {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// updateWatches reassigns the watches if members or endpoints changed, and
// removes those whose handover has ended. The caller holds mu.
func (t *Table) updateWatches(now time.Time) {
	due := t.watch.dirty && now.Sub(t.watch.lastAssigned) >= minAssignInterval
	if due {
		t.assignWatches(now)
	}
	for name, watch := range t.watch.byEndpoint {
		if watch.rank < 0 && !now.Before(watch.end) {
			delete(t.watch.byEndpoint, name)
		}
	}
}

// assignWatches computes this host's rank for each endpoint. The caller holds
// mu.
func (t *Table) assignWatches(now time.Time) {
	t.watch.dirty = false
	t.watch.lastAssigned = now
	watches := make(map[string]*endpointWatch, len(t.watch.byEndpoint))
	byDomain, all := t.candidates()
	for name, e := range t.endpoints {
		sameDomain := byDomain[e.Domain]
		rank := watchRank(e, sameDomain, outsideDomain(all, sameDomain, e.Domain, t.cfg.Watchers), t.cfg.Watchers)
		if watch := t.watchFor(name, rank, now); watch != nil {
			watches[name] = watch
		}
	}
	t.watch.byEndpoint = watches
}

// candidates returns the entry hosts that may watch endpoints, by failure domain
// and as one list. The caller holds mu.
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

// outsideDomain returns the candidates outside of a failure domain, or nil if
// those within it suffice.
func outsideDomain(all, sameDomain []candidate, domain string, watchers int) []candidate {
	if len(sameDomain) >= watchers {
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

// watchFor returns this host's watch of an endpoint with its rank updated, or
// nil. A watch taken over by other hosts continues for watchHandover, since the
// membership change may be reverted soon. The caller holds mu.
func (t *Table) watchFor(name string, rank int, now time.Time) *endpointWatch {
	old := t.watch.byEndpoint[name]
	switch {
	case old == nil && rank < 0:
		return nil
	case old == nil:
		return &endpointWatch{rank: rank, since: now}
	case rank < 0 && old.rank >= 0:
		old.rank = -1
		old.end = now.Add(watchHandover)
	case rank >= 0:
		old.rank = rank
	}
	return old
}
