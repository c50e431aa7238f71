package member

import (
	"cmp"
	"slices"
	"time"
)

// Member is an entry host as this one sees it.
type Member struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Domain      string `json:"domain"`
	Address     string `json:"address"`
	State       State  `json:"state"`
	// Listed is what the platform's host list says; Gone: it does not hold
	// the host any more.
	Listed State `json:"listed"`
	// Since is when this host took up the state.
	Since time.Time `json:"since"`
	// Self is true for this host.
	Self bool `json:"self,omitempty"`
}

// Endpoint is an endpoint as this host sees it.
type Endpoint struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	State       State  `json:"state"`
	Listed      State  `json:"listed"`
	Word
	// Direct is true when the state is the agent's own word, over a session
	// of this host.
	Direct bool      `json:"direct"`
	Since  time.Time `json:"since"`
}

// Usable says whether the endpoint may get new work.
func (e Endpoint) Usable() bool {
	return e.State != Leaving && e.State != Gone
}

// Entries returns all entry hosts that this one knows of, itself included, by
// name.
func (t *Table) Entries(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	alone := now.Sub(t.reach.last) >= isolatedAfter && t.reach.isolated(t.cfg.Period, now)
	members := make([]Member, 0, t.counts[kindMember])
	for _, r := range t.sortedMembers() {
		m := Member{
			Name: r.name, Incarnation: r.incarnation, Domain: r.domain, Address: r.address,
			State: r.state, Listed: t.listed(r.name), Since: r.since, Self: r == t.self,
		}
		if alone && !m.Self {
			m.State = Gone
		}
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// Address returns where an entry host is reached; false if it is not known.
func (t *Table) Address(name string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[hashName(kindMember, name)]
	if r == nil {
		return "", false
	}
	return r.address, true
}

// Endpoint returns what is known of an endpoint; false if nothing is.
func (t *Table) Endpoint(name string, now time.Time) (Endpoint, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.endpoint(name, now)
}

// endpoint merges the agent's own word, the table and the host list. The
// caller holds mu.
func (t *Table) endpoint(name string, now time.Time) (Endpoint, bool) {
	e := Endpoint{Name: name, State: Unknown, Listed: t.listed(name)}
	r := t.records[hashName(kindEndpoint, name)]
	if r != nil {
		e.Incarnation, e.State, e.Word, e.Since = r.incarnation, r.state, r.word, r.since
	}
	if d := t.direct[name]; d.fresh(t.cfg.Suspect, now) {
		e.Incarnation, e.State, e.Word, e.Direct = d.incarnation, Live, d.word, true
		if d.leaving {
			e.State = Leaving
		}
	}
	if e.Listed == Leaving && e.State.rank() < Leaving.rank() || e.Listed == Leaving && e.State == Unknown {
		e.State = Leaving
	}
	return e, r != nil || e.Direct || e.Listed != Live
}

// Isolated says whether this host reaches no other and hears none.
func (t *Table) Isolated(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reach.isolated(t.cfg.Period, now)
}

// sortedMembers returns the members' records by id. The caller holds mu.
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
