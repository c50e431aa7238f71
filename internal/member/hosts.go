package member

import (
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// HostsDue says whether this host should read the platform's host list now,
// and if so counts it as read. All entry hosts take turns, so that the list is
// read about once every Config.HostList by somebody, whatever their number.
func (t *Table) HostsDue(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.nextRead) {
		return false
	}
	turn := t.cfg.HostList * time.Duration(max(1, t.counts[kindMember]))
	jitter := time.Duration(t.rng.Int64N(int64(turn)/2 + 1))
	t.nextRead = now.Add(turn*3/4 + jitter)
	return true
}

// HandleHosts takes up the platform's host list. It lags and may be wrong: a
// host that it calls leaving gets no new work; one that it does not hold any
// more is marked, and only its own silence makes it gone.
func (t *Table) HandleHosts(list []backing.Host, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(list) == 0 {
		return // An empty list is a fault of the service.
	}
	agents := t.namesByAgent()
	listed := make(map[string]bool, len(list))
	for _, h := range list {
		name, endpoint := agents[h.Address]
		if !endpoint {
			name = h.Name
			t.learnSeed(name, h.Address)
		}
		listed[name] = true
		state := Live
		if h.State == backing.HostLeaving {
			state = Leaving
		}
		t.list(name, state, now)
	}
	for _, r := range t.sortedMembers() {
		if !listed[r.name] {
			t.list(r.name, Gone, now)
		}
	}
	for name := range t.endpoints {
		if !listed[name] {
			t.list(name, Gone, now)
		}
	}
}

// namesByAgent maps agents' addresses to endpoints. The caller holds mu.
func (t *Table) namesByAgent() map[string]string {
	names := make(map[string]string, len(t.endpoints))
	for name, e := range t.endpoints {
		names[e.Agent] = name
	}
	return names
}

// learnSeed remembers the address of a host that may be an entry host. The
// caller holds mu.
func (t *Table) learnSeed(name, address string) {
	if _, known := t.records[hashName(kindMember, name)]; known || len(t.seeds) >= maxSeeds {
		return
	}
	if _, endpoint := t.endpoints[name]; endpoint {
		return
	}
	for _, seed := range t.seeds {
		if seed == address {
			return
		}
	}
	t.seeds = append(t.seeds, address)
}

// list authors what the host list says of a host, if that is news. The caller
// holds mu.
func (t *Table) list(name string, s State, now time.Time) {
	id := hashName(kindHost, name)
	if t.listed(name) == s || len(name) > maxText {
		return
	}
	if t.records[id] == nil && !t.room(kindHost, maxHosts) {
		return
	}
	t.author(&record{id: id, kind: kindHost, name: name, state: s}, now)
}

// listed returns what the host list says of a host. The caller holds mu.
func (t *Table) listed(name string) State {
	if r := t.records[hashName(kindHost, name)]; r != nil {
		return r.state
	}
	return Live
}
