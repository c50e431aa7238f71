package member

import (
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// HostListDue reports whether this host should read the platform's host list now
// and, if so, schedules its next read. The interval scales with the number of
// entry hosts and is jittered, so that the hosts together read the list about
// once per Config.HostListInterval.
func (t *Table) HostListDue(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.nextHostRead) {
		return false
	}
	interval := t.cfg.HostListInterval * time.Duration(max(1, t.counts[kindMember]))
	jitter := time.Duration(t.rng.Int64N(int64(interval)/2 + 1))
	t.nextHostRead = now.Add(interval*3/4 + jitter)
	return true
}

// HandleHostList applies the platform's host list. The list lags and may be wrong:
// a host listed as leaving gets no new work, while a host missing from the list
// is only recorded as such and becomes gone only by its own silence.
func (t *Table) HandleHostList(list []backing.Host, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(list) == 0 {
		return // An empty list is a fault of the platform's service.
	}
	endpointByAgent := t.endpointsByAgent()
	listed := make(map[string]bool, len(list))
	for _, h := range list {
		name, isEndpoint := endpointByAgent[h.Address]
		if !isEndpoint {
			name = h.Name
			t.addSeed(name, h.Address)
		}
		listed[name] = true
		state := Live
		if h.State == backing.HostLeaving {
			state = Leaving
		}
		t.publishListed(name, state, now)
	}
	for _, r := range t.sortedMembers() {
		if !listed[r.name] {
			t.publishListed(r.name, Gone, now)
		}
	}
	for name := range t.endpoints {
		if !listed[name] {
			t.publishListed(name, Gone, now)
		}
	}
}

// endpointsByAgent maps agent addresses to endpoint names. The caller holds mu.
func (t *Table) endpointsByAgent() map[string]string {
	names := make(map[string]string, len(t.endpoints))
	for name, e := range t.endpoints {
		names[e.Agent] = name
	}
	return names
}

// addSeed adds the address of a host that may be an entry host to the seeds.
// The caller holds mu.
func (t *Table) addSeed(name, address string) {
	if _, known := t.records[recordID(kindMember, name)]; known || len(t.seeds) >= maxSeeds {
		return
	}
	if _, isEndpoint := t.endpoints[name]; isEndpoint {
		return
	}
	for _, seed := range t.seeds {
		if seed == address {
			return
		}
	}
	t.seeds = append(t.seeds, address)
}

// publishListed publishes a host's state in the host list if it changed. The
// caller holds mu.
func (t *Table) publishListed(name string, s State, now time.Time) {
	id := recordID(kindHost, name)
	if t.listedState(name) == s || len(name) > maxTextBytes {
		return
	}
	if t.records[id] == nil && !t.hasRoom(kindHost, maxHosts) {
		return
	}
	t.publish(&record{id: id, kind: kindHost, name: name, state: s}, now)
}

// listedState returns a host's state in the host list; Live if the table has no
// record of it. The caller holds mu.
func (t *Table) listedState(name string) State {
	if r := t.records[recordID(kindHost, name)]; r != nil {
		return r.state
	}
	return Live
}
