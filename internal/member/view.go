package member

import (
	"cmp"
	"slices"
	"time"
)

// Member is an entry host in this host's view.
type Member struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Domain      string `json:"domain"`
	Address     string `json:"address"`
	State       State  `json:"state"`
	// Listed is the state in the platform's host list; Gone if the host is no
	// longer listed.
	Listed State `json:"listed"`
	// Since is the time at which this host adopted the state.
	Since time.Time `json:"since"`
	// Self is set for this host's own entry.
	Self bool `json:"self,omitempty"`
}

// Endpoint is an endpoint in this host's view.
type Endpoint struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	State       State  `json:"state"`
	// Listed is the state in the platform's host list; Gone if the host is no
	// longer listed.
	Listed State `json:"listed"`
	AgentInfo
	// Direct is set if the state was received from the agent over this
	// host's own session.
	Direct bool `json:"direct"`
	// Since is the time at which the table adopted its record's state; zero
	// if it has no record.
	Since time.Time `json:"since"`
}

// Usable reports whether the endpoint may get new work.
func (e Endpoint) Usable() bool {
	return e.State != Leaving && e.State != Gone
}

// Members returns all entry hosts in the table, this one included, sorted by
// name. A host that has been isolated for some time reports all others as Gone.
func (t *Table) Members(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	isolated := now.Sub(t.connectivity.lastContact) >= isolationGrace && t.connectivity.isolated(t.cfg.Period, now)
	members := make([]Member, 0, t.counts[kindMember])
	for _, r := range t.sortedMembers() {
		m := Member{
			Name: r.name, Incarnation: r.incarnation, Domain: r.domain, Address: r.address,
			State: r.state, Listed: t.listedState(r.name), Since: r.since, Self: r == t.self,
		}
		if isolated && !m.Self {
			m.State = Gone
		}
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// Address returns the address of an entry host, and false if the host is not in
// the table.
func (t *Table) Address(name string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[recordID(kindMember, name)]
	if r == nil {
		return "", false
	}
	return r.address, true
}

// Endpoint returns this host's view of an endpoint, and false if nothing is
// known about it.
func (t *Table) Endpoint(name string, now time.Time) (Endpoint, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.endpointView(name, now)
}

// endpointView merges the agent's own state, the table's record and the host
// list. The caller holds mu.
func (t *Table) endpointView(name string, now time.Time) (Endpoint, bool) {
	view := Endpoint{Name: name, State: Unknown, Listed: t.listedState(name)}
	r := t.records[recordID(kindEndpoint, name)]
	if r != nil {
		view.Incarnation, view.State, view.AgentInfo, view.Since = r.incarnation, r.state, r.info, r.since
	}
	if d := t.directStates[name]; d.fresh(t.cfg.SuspectTimeout, now) {
		view.Incarnation, view.State, view.AgentInfo, view.Direct = d.incarnation, Live, d.info, true
		if d.leaving {
			view.State = Leaving
		}
	}
	if view.Listed == Leaving && view.State.rank() < Leaving.rank() || view.Listed == Leaving && view.State == Unknown {
		view.State = Leaving
	}
	return view, r != nil || view.Direct || view.Listed != Live
}

// Isolated reports whether this host neither reaches any peer nor receives
// messages from one.
func (t *Table) Isolated(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.connectivity.isolated(t.cfg.Period, now)
}

// sortedMembers returns the members' records sorted by ID. The caller holds mu.
func (t *Table) sortedMembers() []*record {
	members := make([]*record, 0, t.counts[kindMember])
	for _, r := range t.records {
		if r.kind == kindMember {
			members = append(members, r)
		}
	}
	slices.SortFunc(members, func(a, b *record) int { return cmp.Compare(a.id, b.id) })
	return members
}
